// A drill, in which the store comes back from a copy some seconds old, while a tenant uses its prepaid tokens.
import { writeFileSync } from "node:fs";
import { sendStream } from "./caller.mjs";
import { Engine, Stride } from "./engine.mjs";
import { allReady, freeAddresses, Machine, sleep } from "./fleet.mjs";
import { Store } from "./store.mjs";

const InputTokens = 2_000;
const OutputTokens = 40;
const DeadlineMs = 4_000;

/** Traffic starts 12 s after the machines do; they start within 0.3 s of each other. */
const TrafficAfterMs = 12_000;
/** Time between the operator's write of the tenant and the first request of the tenant: `config-apply-ms`. */
const ConfigApplyMs = 2_000;
const RestartDelayMs = 1_000;

/** The machines of suds-coop. */
const Zones = ["ie-south-a", "ie-south-a", "ie-south-a", "ie-south-b", "ie-south-c", "ie-south-c"];

function configuration(version, tenants) {
    return {
        version,
        routes: [{
            "name": "r-chat",
            "host": "ficu95.example",
            "path-prefix": "/chat/",
            "kind": "streaming",
            "timeout-ms": 5_000,
            "target-latency-ms": 600,
            "priority": 0,
            "service": "lm-pool",
            "max-attempts": 1,
            "public": false,
            "sticky": true,
            "resumable": false,
            "gap-target-ms": 300,
        }],
        services: [{
            "name": "lm-pool",
            "health-path": "/health",
            "max-conns": 610,
            "protocol": "h1",
            "tls": false,
            "engine": { "slots": 128, "kv-tokens": 435_624, "kv-token-bytes": 131_072, "stride": Stride },
        }],
        limits: {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        tenants,
    };
}

const OtherTenant = { "name": "bova113", "api-keys": ["wsjnbanfqasnmgkcuyj8"], "priority": 1, "prepaid": 400_000 };

function observedTenants(count, prepaid) {
    return Array.from({ length: count }, (_, index) => ({
        "name": `huka2${70 + index}`,
        "api-keys": [`xd9dnn2ctnfzs989an${10 + index}`],
        "priority": 1,
        prepaid,
    }));
}

/** One run of the case. */
class DrillRun {
    #lines = [];
    #startedMs = Date.now();
    #store = new Store();
    #engines = [];
    #machines = [];
    #version;
    #sentCount = 0;
    #statusCounts = new Map();
    #tenants;
    /** Tokens that each tenant has got: input tokens once for each request with output, and output tokens that were delivered. */
    #consumedTokens = new Map();

    record(text) {
        this.#lines.push(`${((Date.now() - this.#startedMs) / 1_000).toFixed(3)} ${text}`);
    }

    get lines() {
        return this.#lines;
    }

    stop() {
        this.#machines.forEach(machine => machine.stop());
        this.#engines.forEach(engine => engine.stop());
        this.#store.stop();
    }

    /** @returns 1 if a tenant got more than its prepaid tokens, 0 if not, 2 if the case could not run. */
    async run(options) {
        const { tenantCount, prepaid, roundCount } = options;
        this.#tenants = observedTenants(tenantCount * roundCount, prepaid);
        this.#version = 5;
        this.#store.set("config/main", configuration(this.#version, [OtherTenant]));
        await this.#start();
        if (!await allReady(this.#machines)) {
            this.record("the machines are not ready");
            return 2;
        }
        await sleep(Math.max(0, TrafficAfterMs - (Date.now() - this.#startedMs)));
        for (let round = 0; round < roundCount && !this.#isBroken; round++) {
            const tenants = this.#tenants.slice(round * tenantCount, (round + 1) * tenantCount);
            await this.#runRound(tenants, { ...options, awayMs: options.awayMs[round] });
        }
        const counts = [...this.#statusCounts].map(([status, count]) => `${status}: ${count}`).join(", ");
        this.record(`requests ${this.#sentCount}; by status ${counts}`);
        for (const engine of this.#engines) {
            for (const { id, tenant, atMs, events } of engine.runs) {
                const atS = ((atMs - this.#startedMs) / 1_000).toFixed(3);
                this.record(`run of request ${id} at ${engine.id}, from ${atS}, for ${tenant}, events ${events}`);
            }
        }
        const served = this.#tenants.filter(({ name }) => this.#consumedTokens.has(name));
        this.record(`tokens that the tenants got: ${this.#describeConsumption(served)}`);
        const hasEndedByItself = this.#machines.some(({ ends }) => ends.length > 0);
        if (this.#consumedTokens.size < tenantCount || hasEndedByItself) {
            return 2;
        }
        return this.#isBroken ? 1 : 0;
    }

    get #isBroken() {
        return this.#tenants.some(({ name, prepaid }) => (this.#consumedTokens.get(name) ?? 0) > prepaid);
    }

    #describeConsumption(tenants) {
        return tenants.map(({ name, prepaid }) => `${name} ${this.#consumedTokens.get(name) ?? 0} of ${prepaid}`).join(", ");
    }

    /** One drill, while some tenants use their prepaid tokens until nothing is left. */
    async #runRound(tenants, { hasDrill, requestsPerS, drillAfterMs, awayMs, trafficMs }) {
        const copy = this.#store.copy();
        this.record("the copy is made");
        const knownCount = this.#tenants.indexOf(tenants.at(-1)) + 1;
        this.#version += 2;
        const operatorConfiguration = configuration(this.#version, [OtherTenant, ...this.#tenants.slice(0, knownCount)]);
        this.#store.set("config/main", operatorConfiguration);
        this.record("the operator adds the tenants; the store has acknowledged it");
        await sleep(ConfigApplyMs);
        this.record("the tenants' requests begin");
        const sending = [];
        const timer = this.#startTraffic(tenants, requestsPerS, sending);
        await sleep(drillAfterMs);
        if (hasDrill) {
            this.#store.goAway();
            this.record(`the drill begins: the store is away; tokens so far: ${this.#describeConsumption(tenants)}`);
        }
        await sleep(awayMs);
        if (hasDrill) {
            this.#store.comeBackFrom(copy);
            this.#store.set("config/main", operatorConfiguration);
            this.#engines.forEach(engine => engine.beat());
            this.record("the store is back from the copy; the operator and the workers have written again");
        }
        await sleep(trafficMs - drillAfterMs - awayMs);
        clearInterval(timer);
        await Promise.all(sending);
    }

    async #start() {
        const [storeIp, ...ips] = await freeAddresses(Zones.length + 3);
        await this.#store.start(storeIp);
        for (const [index, zone] of ["ie-south-a", "ie-south-b"].entries()) {
            const engine = new Engine(`i-${index + 1}`, "lm-pool", zone, this.#store);
            await engine.start(ips[index]);
            this.#engines.push(engine);
        }
        for (const [index, zone] of Zones.entries()) {
            this.#machines.push(new Machine(`front-${index + 1}`, zone, ips[2 + index], this.#store.address));
        }
        this.#machines.forEach(machine => machine.start(RestartDelayMs));
    }

    #startTraffic(tenants, requestsPerS, sending) {
        const startedMs = Date.now();
        return setInterval(() => {
            while (sending.length < (Date.now() - startedMs) * requestsPerS / 1_000) {
                const tenant = tenants[Math.floor(sending.length / this.#machines.length) % tenants.length];
                sending.push(this.#send(this.#machines[sending.length % this.#machines.length].front, tenant));
            }
        }, 10);
    }

    async #send(front, tenant) {
        this.#sentCount++;
        const result = await sendStream(front, {
            host: "ficu95.example",
            path: "/chat/1",
            key: tenant["api-keys"][0],
            inputTokens: InputTokens,
            outputTokens: OutputTokens,
            deadlineMs: DeadlineMs,
        });
        const { id, status, events, isComplete } = result;
        const tokens = events === 0 ? 0 : InputTokens + events * Stride;
        this.#consumedTokens.set(tenant.name, (this.#consumedTokens.get(tenant.name) ?? 0) + tokens);
        this.#statusCounts.set(status, (this.#statusCounts.get(status) ?? 0) + 1);
        this.record(
            `request ${id} of ${tenant.name} at ${front.host} status ${status} events ${events} complete ${isComplete} ` +
                `tokens ${tokens} total ${this.#consumedTokens.get(tenant.name)}`,
        );
    }
}

/**
 * Runs the case, writes its record and ends this process with the result. `drillAfterMs` is the time from the first request of a round
 * until the store goes away, `awayMs` the time for which it is away in each round, `trafficMs` the time in which requests are sent. Later
 * rounds, each with other tenants and another drill, follow while no tenant has got too much.
 */
export async function runDrill(options, recordUrl) {
    const run = new DrillRun();
    process.once("exit", () => run.stop());
    process.once("SIGINT", () => process.exit(2));
    process.once("SIGTERM", () => process.exit(2));
    let code = 2;
    try {
        code = await run.run(options);
    }
    catch (error) {
        run.record(`error ${error.stack}`);
    }
    run.stop();
    run.record(["held", "BROKEN: BUDGET", "the case could not run"][code]);
    writeFileSync(recordUrl, `${run.lines.join("\n")}\n`);
    console.log(run.lines.slice(-2).join("\n"));
    setTimeout(() => process.exit(code), 500);
}

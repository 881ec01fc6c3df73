// A drill, in which the store comes back from a copy some seconds old, while one process is killed and started again.
import { writeFileSync } from "node:fs";
import { sendStream } from "../harness/caller.mjs";
import { Engine, Stride } from "../harness/engine.mjs";
import { allReady, freeAddresses, Machine, sleep } from "../harness/fleet.mjs";
import { Store } from "../harness/store.mjs";

/** "1": drill and kill; "0": neither; "drill" and "kill": one of them, as a control. */
const Trouble = process.env.TROUBLE ?? "1";

const Tenant = "huka270";
const Prepaid = 400_000;
const InputTokens = 2_000;
const OutputTokens = 40;
const RequestsPerS = 20;
/** Age of the copy when the store goes away, and the time for which it is away, in milliseconds. */
const CopyAgeMs = 4_000;
const AwayMs = 1_500;
const KillAfterAwayMs = 200;
const TrafficMs = 60_000;
const Zones = ["ie-south-a", "ie-south-a", "ie-south-a", "ie-south-b", "ie-south-c", "ie-south-c"];

const lines = [];
const startedMs = Date.now();
const record = text => lines.push(`${((Date.now() - startedMs) / 1_000).toFixed(3)} ${text}`);

const store = new Store();
const engines = [];
const machines = [];

/** Tokens that the tenant has got: input tokens once for each request with output, and output tokens that were delivered. */
let consumedTokens = 0;
const results = [];

function configuration() {
    return {
        version: 7,
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
        tenants: [{ "name": Tenant, "api-keys": ["xd9dnn2ctnfzs989anu6"], "priority": 1, "prepaid": Prepaid }],
    };
}

async function send(front) {
    const result = await sendStream(front, {
        host: "ficu95.example",
        path: "/chat/1",
        key: "xd9dnn2ctnfzs989anu6",
        inputTokens: InputTokens,
        outputTokens: OutputTokens,
        deadlineMs: 4_000,
    });
    results.push(result);
    const tokens = result.events === 0 ? 0 : InputTokens + result.events * Stride;
    consumedTokens += tokens;
    record(
        `request ${result.id} ${front.host} status ${result.status} events ${result.events} complete ${result.isComplete} ` +
            `tokens ${tokens} total ${consumedTokens} of ${Prepaid}`,
    );
}

async function main() {
    const ips = await freeAddresses(Zones.length + 3);
    store.set("config/main", configuration());
    let lastWriter;
    store.onWrite = ({ key, caller }) => {
        if (key.endsWith(`ledger-${Tenant}`)) {
            lastWriter = caller;
        }
    };
    for (const [index, zone] of ["ie-south-a", "ie-south-b"].entries()) {
        const engine = new Engine(`i-${index + 1}`, "lm-pool", zone, store);
        await engine.start(ips[1 + index]);
        engines.push(engine);
    }
    for (const [index, zone] of Zones.entries()) {
        const name = `front-${index + 1}`;
        machines.push(new Machine(name, zone, ips[3 + index], await store.listen(ips[0], name)));
    }
    machines.forEach(machine => machine.start(1_000));
    if (!await allReady(machines)) {
        record("the machines are not ready");
        return 2;
    }
    // Traffic starts 12 s after the machines do.
    await sleep(Math.max(0, 10_000 - (Date.now() - startedMs)));
    const copy = store.copy();
    record("the copy is made; traffic starts");
    const trafficStartMs = Date.now();
    let count = 0;
    const sending = [];
    const timer = setInterval(() => {
        while (count < (Date.now() - trafficStartMs) * RequestsPerS / 1_000) {
            sending.push(send(machines[count++ % machines.length].front));
        }
    }, 10);
    await sleep(CopyAgeMs);
    if (Trouble === "1" || Trouble === "drill") {
        record("the drill begins: the store is away");
        store.goAway();
    }
    await sleep(KillAfterAwayMs);
    if (Trouble === "1" || Trouble === "kill") {
        const machine = machines.find(({ name }) => name === lastWriter) ?? machines[0];
        record(`killed: the process on ${machine.name}, which last wrote to the tenant's ledger; tokens so far ${consumedTokens}`);
        machine.signal("SIGKILL");
    }
    await sleep(AwayMs - KillAfterAwayMs);
    if (Trouble === "1" || Trouble === "drill") {
        store.comeBackFrom(copy);
        engines.forEach(engine => engine.beat());
        record("the store is back, from the copy");
    }
    await sleep(Math.max(0, TrafficMs - (Date.now() - trafficStartMs)));
    clearInterval(timer);
    await Promise.all(sending);
    const counts = new Map();
    results.forEach(({ status }) => counts.set(status, (counts.get(status) ?? 0) + 1));
    record(`requests ${results.length}; by status ${[...counts].map(([status, n]) => `${status}: ${n}`).join(", ")}`);
    record(`tokens that the tenant got: ${consumedTokens}; prepaid: ${Prepaid}`);
    if (consumedTokens === 0) {
        return 2;
    }
    return consumedTokens > Prepaid ? 1 : 0;
}

let code = 2;
try {
    code = await main();
}
catch (error) {
    record(`error ${error.stack}`);
}
machines.forEach(machine => machine.stop());
engines.forEach(engine => engine.stop());
store.stop();
record(code === 1 ? "BROKEN: BUDGET" : code === 0 ? "held" : "the case could not run");
writeFileSync(new URL("record.txt", import.meta.url), `${lines.join("\n")}\n`);
console.log(lines.at(-2), "|", lines.at(-1));
setTimeout(() => process.exit(code), 500);

/** Operator tool on an in-memory platform, for tests. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ManualClock } from "../../base/clock.js";
import { SeededRandom } from "../../base/random.js";
import { type CliResult, runCli } from "../../control/cli.js";
import { type ControlContext, OperatorClient } from "../../control/controlContext.js";
import { InMemoryHostList, InMemoryPlatformStore } from "../platform/inMemoryPlatform.js";
import { ObjectStore } from "../platform/objectStore.js";

/** Operator client that returns prepared responses; an endpoint without one is unreachable. */
export class FakeOperatorClient extends OperatorClient {
    override hasToken = false;
    /** Response bodies by the method, a space, the address and the path, for example `GET 127.0.0.1:1/state`. */
    readonly bodies = new Map<string, unknown>();

    override call(
        address: string,
        method: "GET" | "POST",
        path: string,
    ): Promise<{ readonly httpStatus: number; readonly body: unknown; } | undefined> {
        const body = this.bodies.get(`${method} ${address}${path}`);
        return Promise.resolve(body === undefined ? undefined : { httpStatus: 200, body });
    }
}

/** Result of a command whose output is JSON. */
export interface JsonResult {
    readonly exitCode: CliResult["exitCode"];
    /** Parsed standard output, or parsed standard error if standard output is empty. */
    readonly json: unknown;
}

/** Runs commands of one operator against a store; each operator has its own connection with its own faults. */
export class ControlFixture {
    readonly objects: ObjectStore;
    readonly clock = new ManualClock();
    readonly store: InMemoryPlatformStore;
    readonly hosts = new InMemoryHostList();
    readonly operator = new FakeOperatorClient();
    readonly context: ControlContext;
    /** Called whenever a command waits, after the clock has advanced. */
    onSleep: () => void = () => undefined;

    /**
     * @param objects Store, which several operators may share.
     * @param author Name of the operator.
     * @param seed Seed of the random numbers.
     */
    constructor(objects: ObjectStore = new ObjectStore(), author = "operator", seed = 1) {
        this.objects = objects;
        this.store = new InMemoryPlatformStore(objects, { hostId: author, clock: this.clock });
        this.context = {
            store: this.store,
            hostList: this.hosts,
            operatorClient: this.operator,
            clock: this.clock,
            random: new SeededRandom(seed),
            sleep: durationMs => {
                this.clock.advance(durationMs);
                this.onSleep();
                return Promise.resolve();
            },
            author,
            retryMs: 2_000,
        };
    }

    /** Runs a command line. */
    run(...argv: string[]): Promise<CliResult> {
        return runCli(argv, () => this.context);
    }

    /** Runs a command line with JSON output. Rejects if the output is not JSON. */
    async runJson(...argv: string[]): Promise<JsonResult> {
        const { exitCode, stdout, stderr } = await this.run(...argv, "--output", "json");
        return { exitCode, json: JSON.parse(stdout === "" ? stderr : stdout) };
    }

    /** Runs a command with JSON output and a temporary file, which holds `contents`, as its `--file` option. */
    async runWithFile(contents: unknown, ...argv: string[]): Promise<JsonResult> {
        const folder = mkdtempSync(join(tmpdir(), "toucanctl-"));
        try {
            const path = join(folder, "resources.json");
            writeFileSync(path, JSON.stringify(contents));
            return await this.runJson(...argv, "--file", path);
        }
        finally {
            rmSync(folder, { recursive: true });
        }
    }
}

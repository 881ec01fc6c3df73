/**
 * Compares false refusals of the product's draw policy with plain fixed-size shares, in the same run and under the same
 * load: `npx tsx test/fuzz/refusals.ts`.
 */
import { SeededRandom } from "../../src/base/random.js";
import { BudgetController } from "../../src/features/budget/budgetController.js";
import { DemandPolicy, type SharePolicy } from "../../src/features/budget/budgetMath.js";
import { BudgetSettingsSchema } from "../../src/features/budget/budgetSettings.js";
import { JournalController } from "../../src/features/journal/journalController.js";
import { JournalSettingsSchema } from "../../src/features/journal/journalSettings.js";
import { RecoveryController } from "../../src/features/recovery/recoveryController.js";
import { RecoverySettingsSchema } from "../../src/features/recovery/recoverySettings.js";
import type { RequestRecord } from "./fakeGateway.js";
import { checkInvariants } from "./oracle.js";
import { TestFleet } from "./testFleet.js";

const PaidTokens = 600_000;
const HostCount = 6;
const RequestsPerS = 20;
const RunS = 160;

/** Fixed shares: a tenth of an even part per draw, declared in full. */
const FixedShareTokens = PaidTokens / HostCount / 10;
const FixedPolicy: SharePolicy = {
    computeDrawSize: input =>
        input.unusedTokens - input.neededTokens < input.largestCostTokens ?
            Math.min(input.unallocatedTokens, Math.max(FixedShareTokens, input.neededTokens)) :
            0,
    computeSpendingLimit: input => Math.max(0, input.grantedTokens),
};

interface Scenario {
    readonly name: string;
    readonly change: (world: TestFleet, second: number) => void;
}

const Scenarios: readonly Scenario[] = [
    { name: "no fault", change: () => undefined },
    { name: "store outage, second 30 to 40", change: (world, second) => setOutage(world, second, 40) },
    { name: "store outage, second 30 to 60", change: (world, second) => setOutage(world, second, 60) },
    {
        name: "one host cut off from all, second 30 to 90",
        change: (world, second) => {
            if (second === 30) {
                world.store.disconnectedHosts.add("h0");
                world.hostIds.slice(1).forEach(hostId => world.network.partition("h0", hostId));
            }
            else if (second === 90) {
                world.store.disconnectedHosts.clear();
                world.network.heal();
            }
        },
    },
];

function setOutage(world: TestFleet, second: number, endSecond: number): void {
    world.store.faults.outage = second >= 30 && second < endSecond;
}

function createWorld(policy: SharePolicy): TestFleet {
    const settings = BudgetSettingsSchema.parse({});
    const budgetSettings = policy === DemandPolicy ? settings : { ...settings, transferConcurrency: 0 };
    return new TestFleet({
        seed: 1,
        hostCount: HostCount,
        budgets: { b0: PaidTokens },
        homesOnly: false,
        createControllers: context => [
            new JournalController(context, JournalSettingsSchema.parse({})),
            new BudgetController(context, budgetSettings, policy),
            new RecoveryController(context, RecoverySettingsSchema.parse({})),
        ],
    });
}

/** Uneven load that moves to other hosts halfway. */
function startLoad(world: TestFleet, random: SeededRandom, second: number): void {
    for (let index = 0; index < RequestsPerS; index++) {
        const skewed = random.next() < 0.4 ? 0 : random.integer(HostCount);
        const host = world.hostIds[(skewed + (second > 60 ? 3 : 0)) % HostCount]!;
        const costTokens = 200 + random.integer(1_000);
        const usedTokens = Math.floor(costTokens * (0.3 + random.next() * 0.3));
        const plan = { budget: "b0", costTokens, usedTokens, durationMs: 500 + random.integer(3_500) };
        const delayMs = random.integer(1_000);
        world.scheduler.after(delayMs, () => {
            const process = world.processOf(host);
            if (process !== undefined) {
                phases.set(world.gateway.start(process, plan), phaseOf(world, second));
            }
        });
    }
}

let phases = new Map<RequestRecord, string>();

function phaseOf(world: TestFleet, second: number): string {
    const spentShare = 1 - world.unspentTokens("b0") / PaidTokens;
    const isFault = world.store.faults.outage || world.store.disconnectedHosts.size > 0;
    return isFault ?
        "during the fault" :
        second > 20 && spentShare > 0.95 ?
        "last 5 %" :
        spentShare > 0.8 ?
        "80 to 95 %" :
        "up to 80 %";
}

console.log("| scenario | phase of the budget | policy | requests | falsely refused | share | left at the end |");
console.log("| --- | --- | --- | --- | --- | --- | --- |");
for (const scenario of Scenarios) {
    for (const [name, policy] of [["demand", DemandPolicy], ["fixed", FixedPolicy]] as const) {
        const world = createWorld(policy);
        const random = new SeededRandom(5);
        phases = new Map();
        world.scheduler.advance(5_000);
        for (let second = 0; second < RunS; second++) {
            scenario.change(world, second);
            startLoad(world, random, second);
            world.scheduler.advance(1_000);
            checkInvariants(world);
        }
        world.scheduler.advance(10_000);
        const left = world.unspentTokens("b0");
        for (const phase of ["up to 80 %", "during the fault", "80 to 95 %", "last 5 %"]) {
            const requests = [...phases].filter(([, itsPhase]) => itsPhase === phase).map(([request]) => request);
            const refused = requests.filter(request => request.falselyRefused).length;
            const covered = requests.filter(request => request.state === "ended").length + refused;
            if (covered > 0) {
                const share = (100 * refused / covered).toFixed(1);
                console.log(
                    `| ${scenario.name} | ${phase} | ${name} | ${covered} | ${refused} | ${share} % | ${left} |`,
                );
            }
        }
    }
}

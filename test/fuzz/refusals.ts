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

/** Paid tokens of the budget. */
const PaidTokens = 600_000;
const HostCount = 6;
const RequestsPerS = 20;
/** Simulated duration of a run, in seconds. */
const RunS = 160;

/** Fixed shares: each draw takes a tenth of a host's equal share of the budget, and all of it is declared as the limit. */
const FixedShareTokens = PaidTokens / HostCount / 10;
const FixedPolicy: SharePolicy = {
    computeDrawSize: input =>
        input.unusedTokens - input.neededTokens < input.largestCostTokens ?
            Math.min(input.unallocatedTokens, Math.max(FixedShareTokens, input.neededTokens)) :
            0,
    computeSpendingLimit: input => Math.max(0, input.grantedTokens),
};

/** Faults of a run: `change` is called at the start of each second. */
interface Scenario {
    readonly name: string;
    readonly change: (fleet: TestFleet, second: number) => void;
}

const Scenarios: readonly Scenario[] = [
    { name: "no fault", change: () => undefined },
    { name: "store outage, second 30 to 40", change: (fleet, second) => setOutage(fleet, second, 40) },
    { name: "store outage, second 30 to 60", change: (fleet, second) => setOutage(fleet, second, 60) },
    {
        name: "one host cut off from all, second 30 to 90",
        change: (fleet, second) => {
            if (second === 30) {
                fleet.store.disconnectedHosts.add("h0");
                fleet.hostIds.slice(1).forEach(hostId => fleet.network.partition("h0", hostId));
            }
            else if (second === 90) {
                fleet.store.disconnectedHosts.clear();
                fleet.network.heal();
            }
        },
    },
];

function setOutage(fleet: TestFleet, second: number, endSecond: number): void {
    fleet.store.faults.outage = second >= 30 && second < endSecond;
}

function createFleet(policy: SharePolicy): TestFleet {
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
function startLoad(fleet: TestFleet, random: SeededRandom, second: number): void {
    for (let index = 0; index < RequestsPerS; index++) {
        const skewed = random.next() < 0.4 ? 0 : random.integer(HostCount);
        const host = fleet.hostIds[(skewed + (second > 60 ? 3 : 0)) % HostCount]!;
        const costTokens = 200 + random.integer(1_000);
        const usedTokens = Math.floor(costTokens * (0.3 + random.next() * 0.3));
        const plan = { budget: "b0", costTokens, usedTokens, durationMs: 500 + random.integer(3_500) };
        const delayMs = random.integer(1_000);
        fleet.scheduler.after(delayMs, () => {
            const process = fleet.processOf(host);
            if (process !== undefined) {
                phases.set(fleet.gateway.start(process, plan), phaseOf(fleet, second));
            }
        });
    }
}

let phases = new Map<RequestRecord, string>();

function phaseOf(fleet: TestFleet, second: number): string {
    const spentRatio = 1 - fleet.unspentTokens("b0") / PaidTokens;
    const isFault = fleet.store.faults.outage || fleet.store.disconnectedHosts.size > 0;
    return isFault ?
        "during the fault" :
        second > 20 && spentRatio > 0.95 ?
        "last 5 %" :
        spentRatio > 0.8 ?
        "80 to 95 %" :
        "up to 80 %";
}

console.log("| scenario | phase of the budget | policy | requests | falsely refused | share | left at the end |");
console.log("| --- | --- | --- | --- | --- | --- | --- |");
for (const scenario of Scenarios) {
    for (const [name, policy] of [["demand", DemandPolicy], ["fixed", FixedPolicy]] as const) {
        const fleet = createFleet(policy);
        const random = new SeededRandom(5);
        phases = new Map();
        fleet.scheduler.advance(5_000);
        for (let second = 0; second < RunS; second++) {
            scenario.change(fleet, second);
            startLoad(fleet, random, second);
            fleet.scheduler.advance(1_000);
            checkInvariants(fleet);
        }
        fleet.scheduler.advance(10_000);
        const remainingTokens = fleet.unspentTokens("b0");
        for (const phase of ["up to 80 %", "during the fault", "80 to 95 %", "last 5 %"]) {
            const requests = [...phases].filter(([, requestPhase]) => requestPhase === phase).map(([request]) =>
                request
            );
            const refused = requests.filter(request => request.falselyRefused).length;
            const covered = requests.filter(request => request.state === "ended").length + refused;
            if (covered > 0) {
                const refusedPercent = (100 * refused / covered).toFixed(1);
                console.log(
                    `| ${scenario.name} | ${phase} | ${name} | ${covered} | ${refused} | ${refusedPercent} % | ${remainingTokens} |`,
                );
            }
        }
    }
}

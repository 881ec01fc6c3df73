/** Checks the properties of a chaos run by pure functions of its evidence. */
import { groupBy } from "../base/groupBy.js";
import { unallocatedTokens } from "../features/budget/budgetTypes.js";
import { billingViolations } from "./billingCheck.js";
import type { CallRecord, Evidence, UpstreamExecution, Violation } from "./chaosTypes.js";
import { responseTokens } from "./evidenceReading.js";

/** @returns All violations of all properties. */
export function checkAll(evidence: Evidence): Violation[] {
    const executionsById = groupBy(evidence.executions, execution => execution.requestId);
    return [
        ...checkSpending(evidence),
        ...checkTopUps(evidence),
        ...checkAtMostOnce(evidence),
        ...checkRefusals(evidence, executionsById),
        ...checkOwnResponses(evidence, executionsById),
        ...checkCuts(evidence, executionsById),
        ...checkShutdowns(evidence, executionsById),
        ...billingViolations(evidence),
        ...checkAudit(evidence),
        ...checkConfig(evidence),
        ...checkDeadHosts(evidence),
    ];
}

function paidTokens({ topUps }: Evidence, budget: string): number {
    return topUps.filter(topUp => topUp.budget === budget).reduce((sum, topUp) => sum + topUp.tokens, 0);
}

function checkSpending(evidence: Evidence): Violation[] {
    const violations: Violation[] = [];
    for (const [budget, object] of Object.entries(evidence.budgets)) {
        const paid = paidTokens(evidence, budget);
        const atRisk = Object.values(object.atRiskTokens).reduce((sum, tokens) => sum + tokens, 0);
        const billed = evidence.bills.filter(line => line.budget === budget)
            .reduce((sum, line) => sum + line.tokens, 0);
        const delivered = evidence.calls.filter(call =>
            call.budget === budget && call.outcome === "complete" && !call.replayed
        ).reduce((sum, call) => sum + responseTokens(call), 0);
        const charged = object.closedTokens + atRisk;
        if (billed > paid || charged > paid || delivered > paid) {
            violations.push({
                property: "overspend",
                message: `budget ${budget}: ${paid} tokens are paid`,
                evidence: { billed, charged, delivered, object },
            });
        }
    }
    for (const { budget, object, atMs } of evidence.budgetSamples) {
        if (unallocatedTokens(object) < 0) {
            const message = `budget ${budget}: ${-unallocatedTokens(object)} tokens more than paid were given out`;
            violations.push({ property: "overspend", message, evidence: { atMs, object } });
        }
    }
    return violations;
}

function checkTopUps(evidence: Evidence): Violation[] {
    return Object.entries(evidence.budgets).filter(([name, object]) => object.paidTokens !== paidTokens(evidence, name))
        .map(([name, object]) => ({
            property: "topUpOnce",
            message: `budget ${name}: ${paidTokens(evidence, name)} tokens were paid in, the store shows ` +
                `${object.paidTokens}`,
            evidence: object.topUps,
        }));
}

function checkAtMostOnce({ executions, calls }: Evidence): Violation[] {
    const runs = executions.filter(execution => execution.upstream.startsWith("till"));
    const violations: Violation[] = [];
    for (const [key, group] of groupBy(runs, execution => execution.idempotencyKey ?? "")) {
        if (key === "" || group.length > 1) {
            const message = key === "" ? "a sale ran without a key" : `the key ${key} ran ${group.length} times`;
            const callers = calls.filter(call => call.key === key);
            violations.push({ property: "atMostOnce", message, evidence: { group, callers } });
        }
    }
    return violations;
}

function checkRefusals({ calls, bills }: Evidence, executions: Map<string, UpstreamExecution[]>): Violation[] {
    const billed = groupBy(bills.filter(line => line.tokens > 0), line => line.requestId);
    return calls.filter(call => call.ran === "no" && call.requestId !== "").flatMap((call): Violation[] => {
        const runs = executions.get(call.requestId) ?? [];
        const lines = billed.get(call.requestId) ?? [];
        if (runs.length === 0 && lines.length === 0) {
            return [];
        }
        const message = `the request ${call.requestId} was refused with ran "no" and ${
            runs.length > 0 ? "ran" : "was billed"
        }`;
        return [{ property: "refusedNotRun", message, evidence: { call, runs, lines } }];
    });
}

function checkOwnResponses({ calls }: Evidence, executions: Map<string, UpstreamExecution[]>): Violation[] {
    const violations: Violation[] = [];
    const report = (call: CallRecord, message: string): void => {
        violations.push({ property: "ownAnswer", message: `request ${call.requestId}: ${message}`, evidence: call });
    };
    const complete = calls.filter(call => call.outcome === "complete");
    for (const call of complete) {
        const sources = call.answerIds.map(id => id.replace(/^chatcmpl-/, ""));
        const runs = sources.flatMap(id => executions.get(id) ?? []);
        if (call.kind === "sale" || call.kind === "ticketSale") {
            if (call.echo !== call.body) {
                report(call, "the response belongs to another sale");
            }
        }
        else if (sources.length !== 1) {
            report(call, `the response carries ${sources.length} ids`);
        }
        else if (call.replayed ? !runs.some(run => run.idempotencyKey === call.key) : sources[0] !== call.requestId) {
            report(call, "the response belongs to another request");
        }
        else if (!runs.some(run => run.state === "complete" && run.outputTokens === call.outputTokens)) {
            report(call, "no execution produced this response completely");
        }
    }
    const sales = complete.filter(call => call.executionNumber !== undefined);
    for (const [key, group] of groupBy(sales, call => call.key ?? "")) {
        if (new Set(group.map(call => call.executionNumber)).size > 1) {
            report(group[0]!, `the key ${key} was answered by several executions`);
        }
    }
    return violations;
}

function checkCuts({ calls }: Evidence, executions: Map<string, UpstreamExecution[]>): Violation[] {
    return calls.filter(call => call.kind === "stream" && call.done).flatMap((call): Violation[] => {
        const isComplete = call.outcome === "complete" && call.contentChunks === call.outputTokens;
        const ran = (executions.get(call.requestId) ?? []).some(execution => execution.state === "complete");
        if (isComplete && ran) {
            return [];
        }
        const message = `the stream ${call.requestId} has [DONE] and is not complete`;
        return [{ property: "cutWithoutDone", message, evidence: call }];
    });
}

/** Errors that upstreams cause. With another error, the router counts as the cause unless the execution failed. */
const UpstreamErrors = new Set(["UpstreamTimeout", "AnswerMismatch", "UpstreamFailed", "UpstreamRefused"]);

function checkShutdowns(evidence: Evidence, executions: Map<string, UpstreamExecution[]>): Violation[] {
    const violations: Violation[] = [];
    for (const shutdown of evidence.shutdowns) {
        const { hostId, generation, signalledMs, exitCode } = shutdown;
        if (exitCode !== 0) {
            const message = `${hostId} ended with exit code ${exitCode} after SIGTERM`;
            violations.push({ property: "gracefulShutdown", message, evidence: shutdown });
        }
        // Calls in the second half of the lag are not checked: the balancer may send them too late.
        const inFlight = evidence.calls.filter(call =>
            call.hostId === hostId && call.generation === generation && call.endMs >= signalledMs &&
            call.startMs <= signalledMs + evidence.balancerLagMs / 2
        );
        for (const call of inFlight) {
            const hasUpstreamFailed = call.errorName !== undefined && (UpstreamErrors.has(call.errorName) ||
                (executions.get(call.requestId) ?? []).some(run => run.state === "failed"));
            const isCutByRouter = call.outcome === "broken" || call.outcome === "unreached" ||
                call.outcome === "cut" && !hasUpstreamFailed;
            if (isCutByRouter) {
                const runs = executions.get(call.requestId) ?? [];
                violations.push({
                    property: "gracefulShutdown",
                    message: `the request ${call.requestId} was cut by the shutdown of ${hostId}`,
                    evidence: { shutdown, call, runs },
                });
            }
        }
    }
    return violations;
}

function checkAudit({ audit }: Evidence): Violation[] {
    const message = `toucanctl audit ended with exit code ${audit.exitCode}`;
    return audit.exitCode === 0 ? [] : [{ property: "audit", message, evidence: audit.output }];
}

function checkConfig({ configSamples, finalVersions, storedVersion }: Evidence): Violation[] {
    const violations: Violation[] = [];
    const processes = groupBy(configSamples, sample => `${sample.hostId} (process ${sample.generation})`);
    for (const [name, samples] of processes) {
        const reverted = samples.find((sample, index) => index > 0 && sample.version < samples[index - 1]!.version);
        if (reverted !== undefined) {
            const message = `${name} returned to version ${reverted.version}`;
            violations.push({ property: "configNeverReverts", message, evidence: samples });
        }
    }
    if (Object.values(finalVersions).some(version => version !== storedVersion)) {
        const message = `version ${storedVersion} is not in force everywhere`;
        violations.push({ property: "configEqual", message, evidence: finalVersions });
    }
    return violations;
}

/** Checks that records of earlier processes are sealed or closed: at the end, each host id has one running process. */
function checkDeadHosts({ recordStates }: Evidence): Violation[] {
    const open = Object.entries(recordStates).filter(([, state]) => state === "live" || state === "leaving");
    return [...groupBy(open, ([hostKey]) => hostKey.split("~")[0]!)].filter(([, group]) => group.length > 1).map(
        ([hostId, group]): Violation => ({
            property: "deadHostsClosed",
            message: `${group.length} records of ${hostId} are open`,
            evidence: group,
        }),
    );
}

/** Computes the figures of a run from its observations. */
import type { LoadRecord } from "../load/loadRecord.js";
import { TokenIntervalMs } from "../load/loadRecord.js";
import { DurationHistogram } from "../load/loadStatistics.js";
import { MessageOverheadTokens } from "../routing/planRoute.js";
import { UpstreamStandInSettingsSchema } from "../standins/upstream/upstreamSettings.js";
import {
    type BenchDeployment,
    capacityGroupOf,
    capacityTokensPerS,
    groupNames,
    type PhaseRole,
} from "./benchDeployment.js";
import type { RanPhase, RunObservations } from "./benchRun.js";
import { SampleIntervalMs } from "./upstreamSampler.js";

/** Figures of one deployment with one policy. Figures that were not measured are absent. */
export interface BenchFigures {
    readonly overspendTokens?: number;
    readonly falseRefusalRatio?: number;
    readonly crestGoodputRatio?: number;
    readonly crestRefusalRatio?: number;
    readonly crestPriorityFirstTokenP99Ratio?: number;
    readonly shortP99WithLongWorkRatio?: number;
    readonly slowedP99Ratio?: number;
    readonly requests?: number;
}

/** Further figures for readers, which are not part of the result line. */
export interface BenchDetails {
    /** 99th percentile of the first-token latency in the crest by class, in milliseconds. */
    readonly crestFirstTokenP99Ms: Readonly<Record<string, number>>;
    readonly crestRefusalsByClass: Readonly<Record<string, number>>;
    readonly budgetFalseRefusals: number;
    readonly capacityFalseRefusals: number;
    readonly codes: Readonly<Record<string, number>>;
    readonly p99Ms: Readonly<Record<string, number>>;
    readonly longCompleted: number;
    readonly counters: Readonly<Record<string, number>>;
}

const BudgetCodes: ReadonlySet<string> = new Set(["BudgetExhausted", "BudgetUnavailable", "NoBudget"]);
const CapacityCodes: ReadonlySet<string> = new Set(["Overloaded", "QueueFull", "NoUpstream"]);
/** There is idle capacity when more than this fraction of the slots is idle and no request waits at the upstreams. */
const MinIdleFraction = 0.1;
/** Minimum number of latencies from which a 99th percentile is computed. */
const MinSamples = 20;

/** Computes the figures of one run. */
export class FigureCalculator {
    readonly #deployment: BenchDeployment;
    readonly #run: RunObservations;

    constructor(deployment: BenchDeployment, run: RunObservations) {
        this.#deployment = deployment;
        this.#run = run;
    }

    /** @returns The figures of the result line. */
    figures(): BenchFigures {
        const { priorityClasses, shortClasses } = this.#deployment;
        const { records } = this.#run.load;
        const falseRefusals = this.#budgetFalseRefusals() + this.#capacityFalseRefusals();
        const ratios = {
            crestGoodputRatio: this.#crestGoodput(),
            crestRefusalRatio: this.#crestRefusals(Object.keys(this.#deployment.classes)),
            crestPriorityFirstTokenP99Ratio: this.#p99Ratio("crest", "idle", priorityClasses),
            shortP99WithLongWorkRatio: this.#p99Ratio("shortWithLong", "short", shortClasses),
            slowedP99Ratio: this.#p99Ratio("slowed", "short", shortClasses),
        };
        return {
            overspendTokens: this.#overspend(),
            falseRefusalRatio: round(falseRefusals / Math.max(1, records.length)),
            ...Object.fromEntries(
                Object.entries(ratios).flatMap(([name, value]) => value === undefined ? [] : [[name, round(value)]]),
            ),
            requests: records.length,
        };
    }

    /** @returns Further figures of the same run. */
    details(): BenchDetails {
        const classes = Object.keys(this.#deployment.classes);
        const codes: Record<string, number> = {};
        for (const record of this.#run.load.records.filter(one => one.code !== "")) {
            codes[record.code] = (codes[record.code] ?? 0) + 1;
        }
        const { priorityClasses, shortClasses } = this.#deployment;
        const p99Ms = {
            idlePriority: this.#p99("idle", priorityClasses),
            crestPriority: this.#p99("crest", priorityClasses),
            short: this.#p99("short", shortClasses),
            shortWithLong: this.#p99("shortWithLong", shortClasses),
            slowed: this.#p99("slowed", shortClasses),
        };
        return {
            crestFirstTokenP99Ms: numbersOf(classes, name => this.#p99("crest", [name])),
            crestRefusalsByClass: numbersOf(classes, name => this.#crestRefusals([name])),
            budgetFalseRefusals: this.#budgetFalseRefusals(),
            capacityFalseRefusals: this.#capacityFalseRefusals(),
            codes,
            p99Ms: numbersOf(Object.keys(p99Ms), name => p99Ms[name as keyof typeof p99Ms]),
            counters: this.#run.counters,
            longCompleted:
                this.#records("shortWithLong", classes).filter(record =>
                    record.outcome === "complete" && record.outputTokens >= MinLongTokens
                ).length,
        };
    }

    #phases(role: PhaseRole): RanPhase[] {
        return this.#run.phases.filter(phase => phase.role === role);
    }

    #records(role: PhaseRole, classes: readonly string[]): LoadRecord[] {
        const names = new Set(this.#phases(role).map(phase => phase.name));
        return this.#run.load.records.filter(one => names.has(one.phase) && classes.includes(one.requestClass));
    }

    #p99(role: PhaseRole, classes: readonly string[]): number | undefined {
        const histogram = new DurationHistogram();
        for (const record of this.#records(role, classes)) {
            if (record.firstTokenMs !== undefined) {
                histogram.add(record.firstTokenMs);
            }
        }
        const summary = histogram.summary();
        return summary === undefined || summary.count < MinSamples ? undefined : summary.p99Ms;
    }

    #p99Ratio(role: PhaseRole, baseRole: PhaseRole, classes: readonly string[]): number | undefined {
        const value = this.#p99(role, classes);
        const base = this.#p99(baseRole, classes);
        return value === undefined || base === undefined ? undefined : value / base;
    }

    /** @returns Ratio of the tokens that arrived after the ramp of the crest to the capacity of the upstreams in that time. */
    #crestGoodput(): number | undefined {
        let tokens = 0;
        let durationMs = 0;
        for (const { startMs, endMs, rampMs } of this.#phases("crest")) {
            const from = Math.ceil((startMs + rampMs) / TokenIntervalMs);
            const to = Math.floor(endMs / TokenIntervalMs);
            tokens += this.#run.load.tokensByInterval.slice(from, to).reduce((sum, count) => sum + count, 0);
            durationMs += (to - from) * TokenIntervalMs;
        }
        return durationMs === 0 ? undefined : tokens / (capacityTokensPerS(this.#deployment) * durationMs / 1_000);
    }

    #crestRefusals(classes: readonly string[]): number | undefined {
        const records = this.#records("crest", classes);
        const refused = records.filter(record => CapacityCodes.has(record.code));
        return records.length === 0 ? undefined : refused.length / records.length;
    }

    /** @returns Tokens that were used beyond the paid amounts, according to the records of the upstreams. */
    #overspend(): number {
        const tokens = new Map<string, number>();
        for (const execution of [...this.#run.executions.values()].flat()) {
            // A hedged request runs twice and is billed once; the run with more tokens counts.
            const used = execution.promptTokens + execution.outputTokens;
            tokens.set(execution.requestId, Math.max(tokens.get(execution.requestId) ?? 0, used));
        }
        const spent = new Map<string, number>();
        for (const { requestId, requestClass } of this.#run.load.records) {
            const budget = this.#budgetOf(requestClass);
            spent.set(budget, (spent.get(budget) ?? 0) + (tokens.get(requestId) ?? 0));
        }
        return Object.entries(this.#deployment.budgets).reduce(
            (sum, [name, { paidTokens }]) => sum + Math.max(0, (spent.get(name) ?? 0) - paidTokens),
            0,
        );
    }

    /** @returns Number of budget refusals although tokens that were neither spent nor reserved covered the request. */
    #budgetFalseRefusals(): number {
        const { records } = this.#run.load;
        let count = 0;
        for (const refused of records.filter(record => BudgetCodes.has(record.code))) {
            const budget = this.#budgetOf(refused.requestClass);
            let remainingTokens = this.#deployment.budgets[budget]!.paidTokens;
            for (const other of records.filter(one => this.#budgetOf(one.requestClass) === budget)) {
                if (other.endedAtMs <= refused.endedAtMs) {
                    remainingTokens -= other.promptTokens + other.outputTokens;
                }
                else if (other.dueAtMs < refused.endedAtMs && other.outcome !== "refused") {
                    remainingTokens -= this.#costBound(other);
                }
            }
            count += remainingTokens >= this.#costBound(refused) ? 1 : 0;
        }
        return count;
    }

    /** @returns Number of capacity refusals although slots were idle immediately before and after. */
    #capacityFalseRefusals(): number {
        const group = capacityGroupOf(this.#deployment);
        const { startedAtMs, records } = this.#run.load;
        const engineClasses = new Set(
            Object.entries(this.#deployment.classes).filter(([, one]) => one.model !== "").map(([name]) => name),
        );
        return records.filter(record => CapacityCodes.has(record.code) && engineClasses.has(record.requestClass))
            .filter(record => {
                const names = groupNames(group).slice(this.#isSlowed(record) ? this.#deployment.slowedCount : 0);
                return this.#hadIdleSlots(startedAtMs + record.endedAtMs, names);
            }).length;
    }

    #isSlowed(record: LoadRecord): boolean {
        return this.#phases("slowed").some(phase => phase.name === record.phase);
    }

    #hadIdleSlots(atMs: number, names: readonly string[]): boolean {
        const nearSamples = this.#run.samples.filter(sample => Math.abs(sample.atMs - atMs) <= SampleIntervalMs);
        const slots = UpstreamStandInSettingsSchema.parse(capacityGroupOf(this.#deployment).settings).slots *
            names.length;
        return nearSamples.length >= 2 && nearSamples.every(sample => {
            const loads = names.map(name => sample.byUpstream.get(name) ?? { running: slots, waiting: 1 });
            const running = loads.reduce((sum, load) => sum + load.running, 0);
            return loads.every(load => load.waiting === 0) && running < slots * (1 - MinIdleFraction);
        });
    }

    #budgetOf(requestClass: string): string {
        const { team } = this.#deployment.classes[requestClass]!;
        const { labels } = this.#deployment.teams[team]!;
        const names = Object.keys(this.#deployment.budgets).sort();
        return names.find(name =>
            Object.entries(this.#deployment.budgets[name]!.teams.matchLabels).every(([key, value]) =>
                labels[key] === value
            )
        )!;
    }

    #costBound(record: LoadRecord): number {
        const { promptTokensPerByte } = capacityGroupOf(this.#deployment);
        return Math.ceil(record.promptBytes * promptTokensPerByte) + 2 * MessageOverheadTokens +
            (record.maxTokens ?? 0);
    }
}

/** Minimum number of output tokens of long work. */
const MinLongTokens = 100;

function numbersOf(names: readonly string[], valueOf: (name: string) => number | undefined): Record<string, number> {
    return Object.fromEntries(names.flatMap(name => {
        const value = valueOf(name);
        return value === undefined ? [] : [[name, round(value)]];
    }));
}

function round(value: number): number {
    return Math.round(value * 1_000) / 1_000;
}

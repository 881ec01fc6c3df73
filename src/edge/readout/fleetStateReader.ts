/** Reads the state of a fleet of edges from the store for operators: configuration, balances, hosts and upstreams. */
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import {
    combineResults,
    type CommandFailure,
    type CommandResult,
    fail,
    storeUnavailable,
} from "../../control/commandResult.js";
import { listAll } from "../../control/storeAccess.js";
import type { PlatformStore } from "../../platform/platformStore.js";
import type { EvacuationStatus } from "../../scheduling/evacuationConfirmations.js";
import { LedgerSchema, type TeamLedger, unallocatedTokens } from "../budget/ledger.js";
import type { EdgeConfiguration } from "../edgeTypes.js";
import { MemberSchema } from "../peers/memberList.js";
import type { ObjectCodec } from "../protocolCodec.js";

/** Reads the state of one fleet. Every method fails when the store is unavailable. */
export class FleetStateReader {
    readonly #store: PlatformStore;
    readonly #objects: ObjectCodec;

    constructor(store: PlatformStore, objects: ObjectCodec) {
        this.#store = store;
        this.#objects = objects;
    }

    /**
     * @returns The newest configuration: version, routes, services and teams; never API keys. Fails if there is none
     * or it is invalid.
     */
    async configuration(): Promise<CommandResult> {
        const configuration = await this.readConfiguration();
        return configuration.map(({ version, routes, services, teams }) => ({
            value: {
                version,
                routes,
                services,
                teams: teams?.map(({ name, prepaidTokens }) => ({ name, prepaidTokens })),
            },
            table: {
                columns: ["route", "host", "path", "kind", "services", "timeoutMs", "priority"],
                rows: routes.map(route => [
                    route.name,
                    route.host,
                    route.pathPrefix,
                    route.kind,
                    route.targets.map(({ service, weight }) => `${service}:${weight}`).join(" "),
                    route.timeoutMs,
                    route.priority,
                ]),
            },
            lines: [`version ${version}, ${services.length} services, ${teams?.length ?? 0} teams`],
        }));
    }

    /**
     * @returns Tokens of each team: prepaid, known to be spent, at risk, held by hosts, and unallocated. Fails on an
     * invalid ledger.
     */
    async balances(): Promise<CommandResult> {
        const results = combineResults(await this.readConfiguration(), await this.#readLedgers());
        return results.map(([configuration, ledgers]) => {
            const balances = (configuration.teams ?? [])
                .filter(team => team.prepaidTokens !== undefined)
                .map(team => balanceOf(team.name, team.prepaidTokens ?? 0, ledgers.get(team.name)));
            return {
                value: balances,
                table: {
                    columns: ["team", "prepaid", "spent", "atRisk", "held", "unheld"],
                    rows: balances.map(balance => [
                        balance.team,
                        balance.prepaidTokens,
                        balance.spentTokens,
                        balance.atRiskTokens,
                        balance.heldTokens,
                        balance.unheldTokens,
                    ]),
                },
            };
        });
    }

    /** @returns Hosts of the fleet and their addresses; objects that cannot be read are listed with their problem. */
    async hosts(): Promise<CommandResult> {
        const listed = await listAll({ store: this.#store }, this.#objects.hostPrefix);
        return listed.map(objects => {
            const rows = objects.map(object => {
                const host = object.key.slice(this.#objects.hostPrefix.length);
                const member = MemberSchema.safeParse(object.value);
                return member.success ?
                    { host, zone: member.data.zone, peerAddress: member.data.peerAddress, problem: "" } :
                    { host, zone: "", peerAddress: "", problem: member.error.message };
            });
            return {
                value: rows,
                table: {
                    columns: ["host", "zone", "peerAddress", "problem"],
                    rows: rows.map(row => [row.host, row.zone, row.peerAddress, row.problem]),
                },
            };
        });
    }

    /** @returns Upstreams that the platform lists; entries that cannot be read are listed with their problem. */
    async upstreams(): Promise<CommandResult> {
        const listed = await listAll({ store: this.#store }, this.#objects.upstreamPrefix);
        return listed.map(objects => {
            const rows = objects.map(object => {
                const id = object.key.slice(this.#objects.upstreamPrefix.length);
                const entry = this.#objects.readUpstream(id, object.value);
                return typeof entry === "string" ? { id, problem: entry } : { ...entry, id };
            });
            return {
                value: rows,
                table: {
                    columns: ["upstream", "service", "address", "zone", "state"],
                    rows: rows.map(row =>
                        "problem" in row ?
                            [row.id, "", "", "", `ignored: ${row.problem}`] :
                            [row.id, row.service, row.address, row.zone, row.isLeaving ? "leaving" : "ready"]
                    ),
                },
            };
        });
    }

    /** @returns Evacuations of availability zones with their status; objects that cannot be read are listed with their problem. */
    async evacuations(): Promise<CommandResult> {
        const listed = await listAll({ store: this.#store }, this.#objects.evacuationPrefix);
        return listed.map(objects => {
            const rows = objects.map(object => {
                const zone = object.key.slice(this.#objects.evacuationPrefix.length);
                const evacuation = this.#objects.readEvacuation(zone, object.value);
                return {
                    zone,
                    ending: object.isDeleting === true,
                    status: object.status as Partial<EvacuationStatus> | undefined,
                    problem: "problem" in evacuation ? evacuation.problem : "",
                };
            });
            return {
                value: rows,
                table: {
                    columns: ["zone", "state", "hosts", "unconfirmed", "problem"],
                    rows: rows.map(({ zone, ending, status, problem }) => [
                        zone,
                        ending ? "ending" : status?.holds === true ? "holds" : "not confirmed",
                        status?.hosts ?? "",
                        (Array.isArray(status?.unconfirmed) ? status.unconfirmed : []).join(" "),
                        problem,
                    ]),
                },
            };
        });
    }

    /** @returns The configuration in force, with its API keys. Fails if there is none or it is invalid. */
    async readConfiguration(): Promise<Result<EdgeConfiguration, CommandFailure>> {
        const outcome = await this.#store.get(this.#objects.configurationKey);
        if (outcome.status === "unavailable") {
            return storeUnavailable(outcome.reason);
        }
        if (outcome.status === "absent") {
            return fail(ExitCodes.Failed, "there is no configuration yet");
        }
        const configuration = this.#objects.readConfiguration(outcome.object.value);
        return typeof configuration === "string" ?
            fail(ExitCodes.Failed, `the configuration cannot be read: ${configuration}`) :
            Result.ok(configuration);
    }

    async #readLedgers(): Promise<Result<ReadonlyMap<string, TeamLedger>, CommandFailure>> {
        const prefix = `${this.#objects.budgetPrefix}ledger-`;
        const listed = await listAll({ store: this.#store }, this.#objects.budgetPrefix);
        return listed.andThen(objects => {
            const teams = new Map<string, TeamLedger>();
            for (const { key, value } of objects.filter(object => object.key.startsWith(prefix))) {
                const ledger = LedgerSchema.safeParse(value);
                if (!ledger.success) {
                    return fail(ExitCodes.Failed, `${key} cannot be read: ${ledger.error.message}`);
                }
                Object.entries(ledger.data.teams).forEach(([name, team]) => teams.set(name, team));
            }
            return Result.ok(teams);
        });
    }
}

/** @returns Balance of one team, as it is printed for operators. */
function balanceOf(team: string, prepaidTokens: number, ledger: TeamLedger | undefined) {
    const known = ledger ?? { closedTokens: 0, atRiskTokens: 0, shares: {} };
    const shares = Object.values(known.shares);
    const settledTokens = shares.reduce((sum, share) => sum + share.settledTokens, 0);
    const grantedTokens = shares.reduce((sum, share) => sum + share.grantedTokens, 0);
    return {
        team,
        prepaidTokens,
        spentTokens: known.closedTokens + settledTokens,
        atRiskTokens: known.atRiskTokens,
        heldTokens: grantedTokens - settledTokens,
        unheldTokens: unallocatedTokens(known, prepaidTokens),
    };
}

/** Calls of a host's operator endpoint on behalf of a command. */
import { Result } from "true-myth";
import { ExitCodes } from "../base/exitCodes.js";
import { type CommandResult, fail, storeUnavailable } from "./commandResult.js";
import type { ControlContext } from "./controlContext.js";

/**
 * Looks up a host on the host list and calls its operator endpoint. Fails without an operator token, if the host has no
 * address, and if the response is missing or has a status other than 2xx.
 */
export async function callOperatorEndpoint(
    context: ControlContext,
    hostId: string,
    method: "GET" | "POST",
    path: string,
): Promise<CommandResult> {
    if (!context.operatorClient.hasToken) {
        return fail(ExitCodes.Usage, "an operator token is needed");
    }
    const list = await context.hostList.hosts(-1);
    if (list.status === "unavailable") {
        return storeUnavailable(list.reason);
    }
    const host = (list.status === "changed" ? list.hosts : []).find(entry => entry.hostId === hostId);
    if (host === undefined || host.operatorAddress === "") {
        return fail(ExitCodes.Failed, `the host list has no operator address for "${hostId}"`);
    }
    const response = await context.operatorClient.call(host.operatorAddress, method, path);
    if (response === undefined) {
        return fail(ExitCodes.Failed, `${hostId} does not respond at ${host.operatorAddress}`);
    }
    const isDone = response.httpStatus >= 200 && response.httpStatus < 300;
    return isDone ?
        Result.ok({ value: response.body ?? null, lines: [JSON.stringify(response.body ?? null, undefined, 4)] }) :
        fail(ExitCodes.Failed, `${hostId} responded with status ${response.httpStatus}`, response.body);
}

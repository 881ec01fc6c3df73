/** Calls to the operator endpoint of one host. */
import { Result } from "true-myth";
import { ExitCodes } from "../base/exitCodes.js";
import { type CommandResult, fail, storeUnavailable } from "./commandResult.js";
import type { ControlContext } from "./controlContext.js";

/** Finds a host on the host list and calls its operator endpoint. */
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
    const answer = await context.operatorClient.call(host.operatorAddress, method, path);
    if (answer === undefined) {
        return fail(ExitCodes.Failed, `${hostId} does not answer at ${host.operatorAddress}`);
    }
    const isDone = answer.httpStatus >= 200 && answer.httpStatus < 300;
    return isDone ?
        Result.ok({ value: answer.body ?? null, lines: [JSON.stringify(answer.body ?? null, undefined, 4)] }) :
        fail(ExitCodes.Failed, `${hostId} answered with status ${answer.httpStatus}`, answer.body);
}

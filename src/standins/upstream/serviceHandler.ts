/** Handles calls to a plain service. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { DefaultPriority, sendRefusal } from "./chatHandler.js";
import type { ExecutionLog } from "./executionLog.js";
import type { UpstreamFaultInjector, UpstreamStandInSettings } from "./upstreamSettings.js";

/** Collaborators of the service handler. */
export interface ServiceHandlerDependencies {
    readonly settings: UpstreamStandInSettings;
    readonly faults: UpstreamFaultInjector;
    readonly executions: ExecutionLog;
}

/** Runs one call and responds with the number of executions so far and an echo of the body; refuses old fencing numbers. */
export function handleService(
    dependencies: ServiceHandlerDependencies,
    incoming: IncomingMessage,
    response: ServerResponse,
    body: string,
): void {
    const { settings, faults, executions } = dependencies;
    const requestId = String(incoming.headers["x-request-id"] ?? "");
    const key = incoming.headers["idempotency-key"];
    const fencingNumber = Number(incoming.headers["x-fencing-number"] ?? Number.NaN);
    const keyText = typeof key === "string" ? key : undefined;
    if (
        settings.checksFencing && keyText !== undefined && !Number.isNaN(fencingNumber) &&
        executions.checkFencing(keyText, fencingNumber)
    ) {
        sendRefusal(response, requestId, 412);
        return;
    }
    const execution = executions.start(
        requestId,
        keyText,
        0,
        Number(incoming.headers["x-priority"] ?? DefaultPriority),
    );
    const responseId = faults.consume("crossedRequests") ? `${requestId}-other` : requestId;
    const isSilent = faults.consume("silentRequests");
    const isDying = faults.consume("dyingRequests");
    setTimeout(() => {
        execution.state = isDying ? "failed" : "complete";
        if (isDying) {
            response.destroy();
        }
        else if (!isSilent) {
            response.writeHead(200, { "content-type": "application/json", "x-request-id": responseId });
            response.end(JSON.stringify({ executed: executions.all().length, path: incoming.url, echo: body }));
        }
    }, settings.serviceTimeMs * faults.current.slowFactor);
}

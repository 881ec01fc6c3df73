/** Encoding of peer messages: an envelope with the protocol version and the body, in MessagePack. */
import { decode, encode } from "@msgpack/msgpack";
import { Result } from "true-myth";
import { z } from "zod";
import { PeerProtocolVersion } from "../features/membership/membershipTypes.js";
import { MaxPeerMessageBytes, type PeerMethod, PeerMethods, type PeerReply, type PeerRequest } from "./peerMessages.js";

/** Oldest supported protocol version. Versions newer than the release's own are accepted: they only add optional fields. */
export const MinProtocolVersion = 1;

/** @returns Path of a method in the gRPC service. */
export function methodPath(method: string): string {
    return `/toucan.Peer/${method}`;
}

const EnvelopeSchema = z.object({ protocolVersion: z.number().int().positive(), body: z.unknown() });

/** @returns The encoded message, or an error when it exceeds {@link MaxPeerMessageBytes}. */
export function encodeMessage(body: unknown, protocolVersion = PeerProtocolVersion): Result<Buffer, string> {
    const bytes = encode({ protocolVersion, body }, { ignoreUndefined: true });
    return bytes.length <= MaxPeerMessageBytes ?
        Result.ok(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)) :
        Result.err(`the message has ${bytes.length} bytes`);
}

/** @returns The request in a payload, or a description of the problem when it is invalid. */
export function decodeRequest(method: PeerMethod, payload: Uint8Array): Result<PeerRequest, string> {
    return decodeBody(PeerMethods[method].request, payload).map(body => ({ method, body }) as PeerRequest);
}

/** @returns The reply in a payload, or a description of the problem when it is invalid. */
export function decodeReply(method: PeerMethod, payload: Uint8Array): Result<PeerReply, string> {
    return decodeBody(PeerMethods[method].reply, payload).map(body => ({ method, body }) as PeerReply);
}

function decodeBody(schema: z.ZodType, payload: Uint8Array): Result<unknown, string> {
    let message: unknown;
    try {
        message = decode(payload);
    }
    catch {
        return Result.err("the message is not MessagePack");
    }
    const envelope = EnvelopeSchema.safeParse(message);
    if (!envelope.success) {
        return Result.err("the message has no protocol version");
    }
    if (envelope.data.protocolVersion < MinProtocolVersion) {
        return Result.err(`protocol version ${envelope.data.protocolVersion} is no longer understood`);
    }
    const body = schema.safeParse(envelope.data.body);
    return body.success ? Result.ok(body.data) : Result.err(describeIssue(body.error));
}

function describeIssue(error: z.ZodError): string {
    const issue = error.issues[0];
    return `invalid field ${issue?.path.join(".") ?? ""}: ${issue?.message ?? ""}`;
}

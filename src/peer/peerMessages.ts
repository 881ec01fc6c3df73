/** Messages between routers. Unknown fields are ignored, and new fields are optional, so that releases are compatible. */
import { z } from "zod";
import { ReceivedChangeSchema } from "../features/config/configTypes.js";
import { StoredResponseSchema } from "../features/idempotency/idempotencyTypes.js";
import { DigestSchema } from "../features/membership/membershipTypes.js";

/** Maximum size of an encoded message, in bytes. */
export const MaxPeerMessageBytes = 262_144;

/** Asks for tokens of a budget. The giver debits itself before it replies. */
export const TransferRequestSchema = z.object({
    transferId: z.string(),
    budget: z.string(),
    /** Host key of the receiver. */
    receiver: z.string(),
    /** Host key of the giver; another incarnation of that host refuses the request. */
    giver: z.string(),
    wantedTokens: z.number().int().positive(),
    minimumTokens: z.number().int().positive(),
});
export type TransferRequest = z.infer<typeof TransferRequestSchema>;

/** Reply with the number of tokens given; 0 when the giver has none available. */
export const TransferReplySchema = z.object({
    transferId: z.string(),
    givenTokens: z.number().int().nonnegative(),
    /** Tokens that the giver could give later: reserved by requests in flight, or not yet covered by its limit. */
    laterTokens: z.number().int().nonnegative().optional(),
});
export type TransferReply = z.infer<typeof TransferReplySchema>;

/** Cancels a transfer that the receiver will never credit. */
export const CancelTransferRequestSchema = z.object({ transferId: z.string(), giver: z.string() });
/** Confirms that a transfer is cancelled. */
export const CancelTransferReplySchema = z.object({ transferId: z.string() });

/** Asks for configuration changes after a version. */
export const ConfigChangesRequestSchema = z.object({ afterVersion: z.number().int().nonnegative() });
/** The configuration changes after the requested version. */
export const ConfigChangesReplySchema = z.object({ changes: z.array(ReceivedChangeSchema) });

/** Asks the owner of a ticket for the outcome of the ticket's request. */
export const ForwardTicketRequestSchema = z.object({ claimId: z.string(), ticket: z.string(), bodyHash: z.string() });
export type ForwardTicketRequest = z.infer<typeof ForwardTicketRequestSchema>;
/** State of the ticket's request, with its stored response when there is one. */
export const ForwardTicketReplySchema = z.object({
    state: z.enum(["unused", "running", "done", "unknown"]),
    answer: StoredResponseSchema.optional(),
});

/** Methods of the peer service with their schemas. */
export const PeerMethods = {
    Exchange: { request: DigestSchema, reply: DigestSchema },
    TransferTokens: { request: TransferRequestSchema, reply: TransferReplySchema },
    CancelTransfer: { request: CancelTransferRequestSchema, reply: CancelTransferReplySchema },
    ConfigChanges: { request: ConfigChangesRequestSchema, reply: ConfigChangesReplySchema },
    ForwardTicket: { request: ForwardTicketRequestSchema, reply: ForwardTicketReplySchema },
} as const;

/** Name of a peer method. */
export type PeerMethod = keyof typeof PeerMethods;
/** Request of a peer method. */
export type PeerRequestOf<M extends PeerMethod> = z.infer<(typeof PeerMethods)[M]["request"]>;
/** Reply of a peer method. */
export type PeerReplyOf<M extends PeerMethod> = z.infer<(typeof PeerMethods)[M]["reply"]>;

/** A request with its method. */
export type PeerRequest = { [M in PeerMethod]: { readonly method: M; readonly body: PeerRequestOf<M>; }; }[PeerMethod];
/** A reply with its method. */
export type PeerReply = { [M in PeerMethod]: { readonly method: M; readonly body: PeerReplyOf<M>; }; }[PeerMethod];

/** Outcome of a call to a peer. A failed call may have taken effect at the peer. */
export type PeerOutcome =
    | { readonly status: "replied"; readonly reply: PeerReply; }
    | { readonly status: "failed"; readonly reason: string; };

/** Calls other routers. */
export abstract class PeerClient {
    /**
     * Calls a peer. Failures are returned as outcomes.
     * @param address `IP:port` of the peer.
     * @param timeoutMs Maximum wait for the reply, in milliseconds.
     */
    abstract call(address: string, request: PeerRequest, timeoutMs: number): Promise<PeerOutcome>;
}

/** Messages between routers. Unknown fields are ignored; new fields are optional. */
import { z } from "zod";
import { ReceivedChangeSchema } from "../features/config/configTypes.js";
import { StoredResponseSchema } from "../features/idempotency/idempotencyTypes.js";
import { DigestSchema } from "../features/membership/membershipTypes.js";

/** Largest message, in bytes. */
export const MaxPeerMessageBytes = 262_144;

/** Asks for tokens of a budget. The giver debits itself before it answers. */
export const TransferRequestSchema = z.object({
    transferId: z.string(),
    budget: z.string(),
    /** Host key of the receiver. */
    receiver: z.string(),
    /** Host key that is asked; another incarnation refuses. */
    giver: z.string(),
    wantedTokens: z.number().int().positive(),
    minimumTokens: z.number().int().positive(),
});
export type TransferRequest = z.infer<typeof TransferRequestSchema>;

/** Tokens given; 0 when there are none to spare. */
export const TransferReplySchema = z.object({
    transferId: z.string(),
    givenTokens: z.number().int().nonnegative(),
    /** Tokens that the giver could give later: reserved by requests in flight, or not yet covered by its limit. */
    laterTokens: z.number().int().nonnegative().optional(),
});
export type TransferReply = z.infer<typeof TransferReplySchema>;

/** Cancels a transfer that the receiver will never credit. */
export const CancelTransferRequestSchema = z.object({ transferId: z.string(), giver: z.string() });
export const CancelTransferReplySchema = z.object({ transferId: z.string() });

/** Asks for configuration changes after a version. */
export const ConfigChangesRequestSchema = z.object({ afterVersion: z.number().int().nonnegative() });
export const ConfigChangesReplySchema = z.object({ changes: z.array(ReceivedChangeSchema) });

/** Asks the owner of a ticket for its outcome. */
export const ForwardTicketRequestSchema = z.object({ claimId: z.string(), ticket: z.string(), bodyHash: z.string() });
export type ForwardTicketRequest = z.infer<typeof ForwardTicketRequestSchema>;
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

/** Outcome of a call to a peer. A failed call may have taken effect. */
export type PeerOutcome =
    | { readonly status: "replied"; readonly reply: PeerReply; }
    | { readonly status: "failed"; readonly reason: string; };

/** Calls other routers. */
export abstract class PeerClient {
    /**
     * @param address `IP:port` of the peer.
     * @param timeoutMs Longest wait in milliseconds.
     */
    abstract call(address: string, request: PeerRequest, timeoutMs: number): Promise<PeerOutcome>;
}

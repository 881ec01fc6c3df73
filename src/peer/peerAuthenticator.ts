/** Signatures of peer messages with the shared key. */
import { createHash, createHmac, timingSafeEqual } from "node:crypto";

/** Key of the metadata entry that holds the signature. */
export const SignatureMetadataKey = "toucan-signature";
/** Key of the metadata entry that holds the sender's name. */
export const SenderMetadataKey = "toucan-host";

/** Data that the signature of a request covers, besides its timestamp. */
export interface SignedRequest {
    readonly sender: string;
    readonly method: string;
    readonly payload: Uint8Array;
}

/** Signs and verifies requests and replies with an HMAC. */
export class PeerAuthenticator {
    readonly #sharedKey: string;
    readonly #maxClockDifferenceMs: number;

    /**
     * @param sharedKey Key of the fleet; with an empty key nothing is signed and everything is accepted.
     * @param maxClockDifferenceMs Maximum difference between a request's timestamp and the local clock, in milliseconds.
     */
    constructor(sharedKey: string, maxClockDifferenceMs: number) {
        this.#sharedKey = sharedKey;
        this.#maxClockDifferenceMs = maxClockDifferenceMs;
    }

    /** @returns Whether messages are signed. */
    get isEnabled(): boolean {
        return this.#sharedKey !== "";
    }

    /** @returns The timestamp and the signature of a request, separated by a dot. */
    signRequest(request: SignedRequest, wallMs: number): string {
        const timestamp = String(Math.round(wallMs));
        return `${timestamp}.${this.#computeRequestMac(request, timestamp)}`;
    }

    /** @returns The reason for refusing a request; `undefined` when its signature is valid and its timestamp recent. */
    verifyRequest(request: SignedRequest, signature: string, wallMs: number): string | undefined {
        if (!this.isEnabled) {
            return undefined;
        }
        const [timestamp = "", mac = ""] = signature.split(".");
        if (!isEqualInConstantTime(mac, this.#computeRequestMac(request, timestamp))) {
            return "the signature is missing or wrong";
        }
        const differenceMs = Math.abs(wallMs - Number(timestamp));
        return differenceMs <= this.#maxClockDifferenceMs ?
            undefined :
            `the clocks differ by ${Math.round(differenceMs)} ms`;
    }

    /** @returns The signature of a reply; it covers the request's signature and is therefore valid for this request only. */
    signReply(requestSignature: string, payload: Uint8Array): string {
        return this.#computeMac(["reply", requestSignature, sha256Hex(payload)]);
    }

    /** @returns Whether a reply was signed with the shared key for this request. */
    verifyReply(requestSignature: string, payload: Uint8Array, signature: string): boolean {
        return !this.isEnabled || isEqualInConstantTime(signature, this.signReply(requestSignature, payload));
    }

    #computeRequestMac(request: SignedRequest, timestamp: string): string {
        return this.#computeMac(["request", timestamp, request.sender, request.method, sha256Hex(request.payload)]);
    }

    #computeMac(parts: readonly string[]): string {
        return createHmac("sha256", this.#sharedKey).update(JSON.stringify(parts)).digest("hex");
    }
}

function sha256Hex(payload: Uint8Array): string {
    return createHash("sha256").update(payload).digest("hex");
}

function isEqualInConstantTime(left: string, right: string): boolean {
    const leftBytes = Buffer.from(left);
    const rightBytes = Buffer.from(right);
    return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}

/** Signatures of peer messages under the shared key. */
import { createHash, createHmac, timingSafeEqual } from "node:crypto";

/** Metadata entry that holds the signature. */
export const SignatureMetadataKey = "toucan-signature";
/** Metadata entry that names the sender. */
export const SenderMetadataKey = "toucan-host";

/** What the signature of a request covers. */
export interface SignedRequest {
    readonly sender: string;
    readonly method: string;
    readonly payload: Uint8Array;
}

/** Signs and checks requests and replies. */
export class PeerAuthenticator {
    readonly #sharedKey: string;
    readonly #maxClockDifferenceMs: number;

    /** @param sharedKey Key of the fleet; empty signs nothing and accepts everything. */
    constructor(sharedKey: string, maxClockDifferenceMs: number) {
        this.#sharedKey = sharedKey;
        this.#maxClockDifferenceMs = maxClockDifferenceMs;
    }

    /** @returns Whether messages are signed. */
    get isEnabled(): boolean {
        return this.#sharedKey !== "";
    }

    /** @returns The signature of a request at a wall-clock time, with that time. */
    signRequest(request: SignedRequest, wallMs: number): string {
        const timeText = String(Math.round(wallMs));
        return `${timeText}.${this.#requestMac(request, timeText)}`;
    }

    /** @returns Why a request is refused; `undefined` when its signature is valid. */
    verifyRequest(request: SignedRequest, signature: string, wallMs: number): string | undefined {
        if (!this.isEnabled) {
            return undefined;
        }
        const [timeText = "", mac = ""] = signature.split(".");
        if (!equalTexts(mac, this.#requestMac(request, timeText))) {
            return "the signature is missing or wrong";
        }
        const differenceMs = Math.abs(wallMs - Number(timeText));
        return differenceMs <= this.#maxClockDifferenceMs ?
            undefined :
            `the clocks differ by ${Math.round(differenceMs)} ms`;
    }

    /** @returns The signature of a reply, bound to the request by the request's signature. */
    signReply(requestSignature: string, payload: Uint8Array): string {
        return this.#mac(["reply", requestSignature, digestOf(payload)]);
    }

    /** @returns Whether a reply was signed under the shared key for this request. */
    verifyReply(requestSignature: string, payload: Uint8Array, signature: string): boolean {
        return !this.isEnabled || equalTexts(signature, this.signReply(requestSignature, payload));
    }

    #requestMac(request: SignedRequest, timeText: string): string {
        return this.#mac(["request", timeText, request.sender, request.method, digestOf(request.payload)]);
    }

    #mac(parts: readonly string[]): string {
        return createHmac("sha256", this.#sharedKey).update(JSON.stringify(parts)).digest("hex");
    }
}

function digestOf(payload: Uint8Array): string {
    return createHash("sha256").update(payload).digest("hex");
}

function equalTexts(left: string, right: string): boolean {
    const leftBytes = Buffer.from(left);
    const rightBytes = Buffer.from(right);
    return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}

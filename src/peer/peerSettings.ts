/** Settings of the calls between routers. */
import { isIP } from "node:net";
import { z } from "zod";

/** Settings of the peer listener and the peer client. */
export const PeerSettingsSchema = z.strictObject({
    listenHost: z.string().default("127.0.0.1"),
    /** 0 lets the operating system choose. */
    listenPort: z.number().int().min(0).max(65_535).default(0),
    /** Key that all routers share. Empty: TLS or loopback addresses only. */
    sharedKey: z.string().default(""),
    /** Largest difference between the clocks of two hosts that a signed request may show. */
    maxClockDifferenceMs: z.number().int().positive().default(60_000),
    /** Certificates in PEM form; both sides present one. */
    tls: z.strictObject({
        certificateFile: z.string(),
        privateKeyFile: z.string(),
        authorityFile: z.string(),
        /** Name in the peers' certificates when these do not contain their IP addresses. */
        serverName: z.string().default(""),
    }).optional(),
    /** Calls of one peer that are served per second, and the largest burst. */
    maxCallsPerS: z.number().positive().default(50),
    /** Longest wait for the controller that answers a request. */
    answerTimeoutMs: z.number().int().positive().default(2_000),
    /** Longest silence of a connection with a call in progress before it is checked, and the wait for the check. */
    keepaliveMs: z.number().int().positive().default(5_000),
    keepaliveTimeoutMs: z.number().int().positive().default(2_000),
    /** Time without calls after which a connection is closed; a ring successor is called every 8 s. */
    idleCloseMs: z.number().int().positive().default(12_000),
});
export type PeerSettings = z.infer<typeof PeerSettingsSchema>;

/** @returns Whether an address of the form `IP` or `IP:port` belongs to this machine. */
export function isLoopbackAddress(address: string): boolean {
    const host = hostOfAddress(address);
    return isIP(host) === 4 ? host.startsWith("127.") : host === "::1" || host.startsWith("::ffff:127.");
}

/** @returns The address without its port and brackets. */
export function hostOfAddress(address: string): string {
    if (isIP(address) !== 0) {
        return address;
    }
    return address.replace(/:\d+$/, "").replace(/^\[(.*)\]$/, "$1");
}

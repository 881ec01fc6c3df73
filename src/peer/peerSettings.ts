/** Settings for the calls between routers. */
import { isIP } from "node:net";
import { z } from "zod";

/** Settings of the peer listener and the peer client. */
export const PeerSettingsSchema = z.strictObject({
    listenHost: z.string().default("127.0.0.1"),
    /** 0 lets the operating system choose. */
    listenPort: z.number().int().min(0).max(65_535).default(0),
    /** Key that all routers share. When it is empty, TLS or loopback addresses are required. */
    sharedKey: z.string().default(""),
    /** Maximum difference between a signed request's timestamp and the receiver's clock. */
    maxClockDifferenceMs: z.number().int().positive().default(60_000),
    /** Certificates in PEM format; both sides present one. */
    tls: z.strictObject({
        certificateFile: z.string(),
        privateKeyFile: z.string(),
        authorityFile: z.string(),
        /** Name in the peers' certificates when these do not contain their IP addresses. */
        serverName: z.string().default(""),
    }).optional(),
    /** Maximum calls of one peer that are served per second; also the maximum burst. */
    maxCallsPerS: z.number().positive().default(50),
    /** Maximum number of connections; above it, those without an accepted call are closed first. */
    maxConnections: z.number().int().positive().default(1_024),
    /** Maximum wait for a controller's reply to a request. */
    answerTimeoutMs: z.number().int().positive().default(2_000),
    /** Silence of a connection with a call in progress after which the connection is checked. */
    keepaliveMs: z.number().int().positive().default(5_000),
    /** Maximum wait for the reply to that check. */
    keepaliveTimeoutMs: z.number().int().positive().default(2_000),
    /** Time without calls after which a connection is closed; a ring successor is called every 8 s. */
    idleCloseMs: z.number().int().positive().default(12_000),
});
export type PeerSettings = z.infer<typeof PeerSettingsSchema>;

/** @returns Whether an address of the form `IP` or `IP:port` is a loopback address. */
export function isLoopbackAddress(address: string): boolean {
    const host = hostOfAddress(address);
    return isIP(host) === 4 ? host.startsWith("127.") : host === "::1" || host.startsWith("::ffff:127.");
}

/** @returns An address without its port and brackets. */
export function hostOfAddress(address: string): string {
    if (isIP(address) !== 0) {
        return address;
    }
    return address.replace(/:\d+$/, "").replace(/^\[(.*)\]$/, "$1");
}

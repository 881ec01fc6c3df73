/** Settings of the router process. */
import { hostname } from "node:os";
import { z } from "zod";
import { FeatureSettingsSchema } from "../features/registry.js";
import { GatewaySettingsSchema } from "../gateway/gatewaySettings.js";
import { PeerSettingsSchema } from "../peer/peerSettings.js";
import { DefaultPlatformTimeouts } from "../platform/platformClient.js";

const PortSchema = z.number().int().min(0).max(65_535);

/** Settings with their defaults. Port 0 selects a free port. */
export const RouterSettingsSchema = z.strictObject({
    /** Name of this host; unique within the fleet. */
    hostId: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/).default(() => hostname()),
    zone: z.string().default(""),
    /** Address at which others reach this host; if empty, the listener's own address. */
    advertisedHost: z.string().default(""),
    caller: z.strictObject({
        host: z.string().default("127.0.0.1"),
        port: PortSchema.default(8_080),
    }).prefault({}),
    operator: z.strictObject({
        host: z.string().default("127.0.0.1"),
        port: PortSchema.default(8_081),
        /** SHA-256 of the operator token; without one the listener must be on a loopback address. */
        tokenHash: z.string().regex(/^[0-9a-f]{64}$/).optional(),
    }).prefault({}),
    peer: PeerSettingsSchema.prefault({}),
    platform: z.strictObject({
        url: z.url().default("http://127.0.0.1:7100"),
        timeoutMs: z.number().int().positive().default(DefaultPlatformTimeouts.timeoutMs),
        connectTimeoutMs: z.number().int().positive().default(DefaultPlatformTimeouts.connectTimeoutMs),
    }).prefault({}),
    gateway: GatewaySettingsSchema.prefault({}),
    features: FeatureSettingsSchema.prefault({}),
    /** Maximum duration of a graceful shutdown; requests end a quarter of it earlier, at most `closeTimeoutMs`. */
    shutdownTimeoutMs: z.number().int().positive().default(600_000),
    /** StatsD server for metrics. */
    metrics: z.strictObject({ host: z.string(), port: PortSchema }).optional(),
});
/** Validated settings, with defaults filled in. */
export type RouterSettings = z.infer<typeof RouterSettingsSchema>;
/** Settings as written in a file, where fields with defaults may be absent. */
export type RouterSettingsInput = z.input<typeof RouterSettingsSchema>;

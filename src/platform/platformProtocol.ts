/** The HTTP protocol of the platform's object API: paths, headers and bodies. */
import { z } from "zod";
import { ListedHostSchema, StoredObjectSchema } from "./platformStore.js";

/** Paths of the object API. Keys and prefixes are query parameters. */
export const PlatformPaths = {
    object: "/v1/object",
    list: "/v1/list",
    watch: "/v1/watch",
    hosts: "/v1/hosts",
} as const;

/** Request and answer headers, in lower case. */
export const PlatformHeaders = {
    expectedVersion: "x-expected-version",
    hostId: "x-host-id",
    zone: "x-host-zone",
    peerAddress: "x-host-peer-address",
    operatorAddress: "x-host-operator-address",
    hostState: "x-host-state",
    /** On each answer: revision of the host list, so that an unchanged list needs no call. */
    hostsRevision: "x-hosts-revision",
    /** On an error answer: `true` states that a write had no effect. */
    notApplied: "x-not-applied",
} as const;

/** Bodies of successful answers. */
export const AppliedBodySchema = z.object({ version: z.number().int().nonnegative() });
export const ConflictBodySchema = z.object({ current: StoredObjectSchema.optional() });
export const ListBodySchema = z.object({ objects: z.array(StoredObjectSchema), more: z.boolean() });
export const WatchBodySchema = z.object({
    changes: z.array(z.object({ key: z.string(), object: StoredObjectSchema.optional() })),
    revision: z.number().int().nonnegative(),
});
export const TooOldBodySchema = z.object({ revision: z.number().int().nonnegative() });
export const HostsBodySchema = z.object({
    hosts: z.array(ListedHostSchema),
    revision: z.number().int().nonnegative(),
});
export const PlatformErrorBodySchema = z.object({ error: z.string() });

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

/** Request and response headers, in lower case. */
export const PlatformHeaders = {
    expectedVersion: "x-expected-version",
    hostId: "x-host-id",
    zone: "x-host-zone",
    peerAddress: "x-host-peer-address",
    operatorAddress: "x-host-operator-address",
    hostState: "x-host-state",
    /** In each response: revision of the host list, so that an unchanged list needs no request. */
    hostsRevision: "x-hosts-revision",
    /** In an error response: `true` states that a write had no effect. */
    notApplied: "x-not-applied",
} as const;

/** Response to a write that was applied: the new version of the object. */
export const AppliedBodySchema = z.object({ version: z.number().int().nonnegative() });
/** Response to a write whose expected version did not match: the current object, absent when the key is. */
export const ConflictBodySchema = z.object({ current: StoredObjectSchema.optional() });
/** A page of a listing; `more` tells whether further keys follow. */
export const ListBodySchema = z.object({ objects: z.array(StoredObjectSchema), more: z.boolean() });
/** Changes after the requested revision, and the newest revision of the store. */
export const WatchBodySchema = z.object({
    changes: z.array(z.object({ key: z.string(), object: StoredObjectSchema.optional() })),
    revision: z.number().int().nonnegative(),
});
/** Response to a watch whose revision is no longer known: the newest revision of the store. */
export const TooOldBodySchema = z.object({ revision: z.number().int().nonnegative() });
/** The host list and its revision. */
export const HostsBodySchema = z.object({
    hosts: z.array(ListedHostSchema),
    revision: z.number().int().nonnegative(),
});
/** Response to a request that failed. */
export const PlatformErrorBodySchema = z.object({ error: z.string() });

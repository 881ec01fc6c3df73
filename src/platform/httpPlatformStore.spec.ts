import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { FaultInput } from "../standins/platform/faultInjector.js";
import { PlatformServer } from "../standins/platform/platformServer.js";
import { HttpHostList, HttpPlatformStore } from "./httpPlatformStore.js";
import { PlatformClient } from "./platformClient.js";
import type { ListedHost } from "./platformStore.js";

const Timeouts = { timeoutMs: 200, connectTimeoutMs: 100 };

function identity(hostId: string, state: ListedHost["state"] = "live"): ListedHost {
    return { hostId, zone: "z1", peerAddress: "127.0.0.1:1", operatorAddress: "127.0.0.1:2", state };
}

describe("HttpPlatformStore", () => {
    let server: PlatformServer;
    let url: string;
    const clients: PlatformClient[] = [];
    const createClient = (host?: ListedHost, target: string = url): PlatformClient => {
        const client = new PlatformClient({ url: target, ...Timeouts }, () => host);
        clients.push(client);
        return client;
    };
    const openStore = (host?: ListedHost, target: string = url): HttpPlatformStore =>
        new HttpPlatformStore(createClient(host, target));

    beforeEach(async () => {
        server = new PlatformServer({ hostListLagMs: 100, hostExpiryMs: 60_000 });
        url = await server.start(0);
    });
    afterEach(async () => {
        await Promise.all(clients.splice(0).map(client => client.close()));
        await server.stop();
    });

    describe("without faults", () => {
        it("returns the specified outcome of each operation (guards against fields that are missing on the wire)", async () => {
            const store = openStore();
            expect(await store.get("a/1")).toEqual({ status: "absent" });
            expect(await store.put("a/1", { x: "é" }, 0)).toEqual({ status: "applied", version: 1 });
            expect(await store.put("a/1", 2, 0)).toMatchObject({ status: "conflict", current: { value: { x: "é" } } });
            expect(await store.put("a/2", 2, 7)).toEqual({ status: "conflict", current: undefined });
            expect(await store.put("a/~ ?&", null, 0)).toMatchObject({ status: "applied" });
            expect(await store.get("a/~ ?&")).toMatchObject({ status: "found", object: { value: null } });
            expect(await store.list("a/", "", 1)).toMatchObject({ more: true, objects: [{ key: "a/1" }] });
            expect(await store.list("a/", "a/1", 5)).toMatchObject({ more: false, objects: [{ key: "a/~ ?&" }] });
            expect(await store.delete("a/1", 1)).toEqual({ status: "applied", version: 1 });
        });

        it("refuses a value over 1 MB (guards against records that only some hosts can store)", async () => {
            const tooLarge = "x".repeat(1_000_000);
            expect(await openStore().put("a", tooLarge, 0)).toMatchObject({ status: "refused" });
            expect(await openStore().put("a", tooLarge.slice(2), 0)).toMatchObject({ status: "applied" });
        });
    });

    describe("when a prefix is watched", () => {
        it("waits for the next change below the prefix (guards against missed changes or changes of other prefixes)", async () => {
            const store = openStore();
            const waiting = store.watch("p/", 0, 5_000);
            await store.put("q/a", 1, 0);
            await store.put("p/a", 1, 0);
            const outcome = await waiting;
            expect(outcome).toMatchObject({ status: "changed", revision: 2, changes: [{ key: "p/a" }] });
            expect(await store.watch("p/", 2, 20)).toEqual({ status: "changed", changes: [], revision: 2 });
        });

        it("reports a revision of another store as too old (guards against waiting forever after a restart)", async () => {
            expect(await openStore().watch("p/", 99, 10)).toEqual({ status: "tooOld", revision: 0 });
        });

        it("is aborted by an outage (guards against watches that outlive a partition)", async () => {
            const waiting = openStore(identity("h1")).watch("p/", 0, 10_000);
            await expect.poll(() => server.dumpState()).toMatchObject({ waitingWatches: 1 });
            server.setFaults([{ type: "cutOff", hosts: ["h1"] }]);
            expect(await waiting).toMatchObject({ status: "unavailable" });
        });
    });

    describe("when writes fail", () => {
        const writeWith = async (fault: FaultInput) => {
            server.setFaults([fault]);
            const outcome = await openStore().put("k", 1, 0);
            server.setFaults([]);
            return { outcome: outcome.status, stored: (await openStore().get("k")).status };
        };

        it("classifies each fault (guards against an applied write reported as refused, which doubles its effect)", async () => {
            const silent = await writeWith({ type: "outage", manner: "silent" });
            expect(silent).toEqual({ outcome: "unknown", stored: "absent" });
            const drop = await writeWith({ type: "outage", manner: "drop" });
            expect(drop).toEqual({ outcome: "unknown", stored: "absent" });
            const refuse = await writeWith({ type: "outage", manner: "refuse" });
            expect(refuse).toEqual({ outcome: "refused", stored: "absent" });
            const lost = await writeWith({ type: "answerLost" });
            expect(lost).toEqual({ outcome: "unknown", stored: "found" });
        });

        it("reports a write that is applied after the timeout as unknown (guards against late effects)", async () => {
            const slow = await writeWith({ type: "latency", delayMs: 400, kinds: ["write"] });
            expect(slow).toEqual({ outcome: "unknown", stored: "absent" });
            await expect.poll(async () => (await openStore().get("k")).status, { timeout: 3_000 }).toBe("found");
        });

        it("reports a write whose connection closes first as unknown (guards against late effects)", async () => {
            const late = await writeWith({ type: "appliedLate", delayMs: 200 });
            expect(late).toEqual({ outcome: "unknown", stored: "absent" });
            await expect.poll(async () => (await openStore().get("k")).status, { timeout: 3_000 }).toBe("found");
        });

        it("reports a refused connection as refused (guards against waiting for a platform that has stopped)", async () => {
            await server.stop();
            expect(await openStore().put("k", 1, 0)).toMatchObject({ status: "refused" });
            expect(await openStore().get("k")).toMatchObject({ status: "unavailable" });
        });

        it("reports writes over the rate limit as refused", async () => {
            const limited = new PlatformServer({ writesPerS: 1, readsPerS: 1 });
            const store = openStore(undefined, await limited.start(0));
            await store.put("a", 1, 0);
            expect(await store.put("b", 1, 0)).toMatchObject({ status: "refused" });
            expect(limited.objects.get("b")).toEqual({ status: "absent" });
            await limited.stop();
        });
    });

    describe("when a response has an unexpected form", () => {
        let otherServer: Server;
        afterEach(() => otherServer.close());
        const outcomeOfResponse = async (status: number, body: string) => {
            otherServer = createServer((_request, response) => response.writeHead(status).end(body));
            await new Promise<void>(resolve => otherServer.listen(0, "127.0.0.1", resolve));
            const target = `http://127.0.0.1:${(otherServer.address() as AddressInfo).port}`;
            const outcome = await openStore(undefined, target).put("k", 1, 0);
            otherServer.close();
            return outcome.status;
        };

        it("reports only an explicit refusal as refused (guards against errors of an intermediary)", async () => {
            expect(await outcomeOfResponse(200, "<html>")).toBe("unknown");
            expect(await outcomeOfResponse(500, "{}")).toBe("unknown");
            expect(await outcomeOfResponse(503, "busy")).toBe("unknown");
            expect(await outcomeOfResponse(408, "")).toBe("unknown");
            expect(await outcomeOfResponse(409, "")).toBe("unknown");
            expect(await outcomeOfResponse(429, "")).toBe("refused");
        });
    });

    describe("when faults affect some hosts only", () => {
        it("cuts off exactly the named hosts and counts calls per host", async () => {
            server.setFaults([{ type: "cutOff", hosts: ["h1"] }]);
            expect(await openStore(identity("h1")).get("k")).toMatchObject({ status: "unavailable" });
            expect(await openStore(identity("h2")).get("k")).toEqual({ status: "absent" });
            expect(server.dumpState()).toMatchObject({ calls: { h2: { reads: 1, writes: 0, watches: 0 } } });
        });

        it("returns past states and still checks versions (guards against tests that never see a stale read)", async () => {
            const store = openStore();
            await store.put("k", "old", 0);
            await new Promise(resolve => setTimeout(resolve, 60));
            server.setFaults([{ type: "staleReads", ageMs: 50 }]);
            await store.put("k", "new", 1);
            expect(await store.get("k")).toMatchObject({ object: { value: "old", version: 1 } });
            expect(await store.list("k", "", 10)).toMatchObject({ objects: [{ value: "old" }] });
            expect(await store.put("k", "x", 1)).toMatchObject({ status: "conflict", current: { value: "new" } });
        });
    });

    describe("the host list", () => {
        it("follows the identities in requests with a lag (guards against a list that needs its own requests)", async () => {
            const client = createClient(identity("h1"));
            const list = new HttpHostList(client);
            await new HttpPlatformStore(client).get("k");
            expect(await list.hosts(-1)).toEqual({ status: "changed", hosts: [], revision: 0 });
            await openStore(identity("h2", "leaving")).get("k");
            const hosts = [identity("h1"), identity("h2", "leaving")];
            await expect.poll(() => list.hosts(-1)).toEqual({ status: "changed", hosts, revision: 2 });
            const { calls } = server.dumpState() as { calls: Record<string, { reads: number; }>; };
            expect(await list.hosts(2)).toEqual({ status: "unchanged", revision: 2 });
            expect(server.dumpState()).toMatchObject({ calls });
        });

        it("shows a host as leaving when the administrator sets it", async () => {
            const client = createClient(identity("h1"));
            await new HttpPlatformStore(client).get("k");
            const body = JSON.stringify({ hostId: "h1", state: "leaving" });
            await fetch(`${url}/hosts`, { method: "POST", body });
            await new HttpPlatformStore(client).get("k");
            const readHosts = () => new HttpHostList(client).hosts(-1);
            await expect.poll(readHosts).toMatchObject({ hosts: [{ hostId: "h1", state: "leaving" }] });
        });
    });
});

import { beforeEach, describe, expect, it } from "vitest";
import { ObjectStore } from "./objectStore.js";

describe("ObjectStore", () => {
    let store: ObjectStore;
    beforeEach(() => {
        store = new ObjectStore();
    });

    describe("when two writers use the same expected version", () => {
        it("applies the first and returns its object to the second (guards against lost updates)", () => {
            expect(store.put("a", 1, 0)).toEqual({ status: "applied", version: 1 });
            expect(store.put("a", 2, 0)).toMatchObject({ status: "conflict", current: { value: 1, version: 1 } });
        });
    });

    describe("when a key is created again after its deletion", () => {
        it("continues its versions (guards against a late write that matches a reused version)", () => {
            store.put("a", 1, 0);
            store.put("a", 2, 1);
            store.delete("a", 2);
            expect(store.put("a", 3, 0)).toEqual({ status: "applied", version: 3 });
        });
    });

    describe("when a prefix is listed in pages", () => {
        it("returns each key once (guards against skipped or repeated keys at a page boundary)", () => {
            for (const key of ["p/b", "p/a", "q/x", "p/c"]) {
                store.put(key, key, 0);
            }
            const first = store.list("p/", "", 2);
            const second = store.list("p/", "p/b", 2);
            expect(first).toMatchObject({ more: true, objects: [{ key: "p/a" }, { key: "p/b" }] });
            expect(second).toMatchObject({ more: false, objects: [{ key: "p/c" }] });
        });
    });

    describe("when changes are watched", () => {
        it("reports the newest state of each changed key (guards against missed changes)", () => {
            store.put("p/a", 1, 0);
            const { revision } = store;
            store.put("p/a", 2, 1);
            store.put("q/a", 1, 0);
            store.put("p/b", 1, 0);
            store.delete("p/b", 1);
            expect(store.changesAfter("p/", revision)).toMatchObject({
                changes: [{ key: "p/a", object: { value: 2 } }, { key: "p/b", object: undefined }],
            });
        });
    });
});

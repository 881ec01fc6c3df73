import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { AdmissionRequest } from "./admissionTypes.js";
import { FairQueue, type QueuedRequest } from "./fairQueue.js";

const entry = (requestId: string, team: string, deadlineAtMs: number): QueuedRequest => ({
    request: { requestId, team } as AdmissionRequest,
    enqueuedAtMs: 0,
    deadlineAtMs,
});

const serveAll = (queue: FairQueue, count: number): QueuedRequest[] => {
    const served: QueuedRequest[] = [];
    for (let head = queue.head(); head !== undefined && served.length < count; head = queue.head()) {
        queue.serve(head, 1);
        served.push(head);
    }
    return served;
};

describe("FairQueue", () => {
    describe("when two teams always wait", () => {
        it("serves them by their weights (guards against a team that gets more by sending more)", () => {
            const queue = new FairQueue();
            for (let index = 0; index < 100; index++) {
                queue.push(entry(`a${index}`, "a", index), 3);
                queue.push(entry(`b${index}`, "b", index), 1);
            }
            const served = serveAll(queue, 40).filter(one => one.request.team === "a").length;
            expect(served).toBeGreaterThanOrEqual(29);
            expect(served).toBeLessThanOrEqual(31);
        });
    });

    describe("when a team returns after a pause", () => {
        it("gets no credit for the pause (guards against a burst that starves the others)", () => {
            const queue = new FairQueue();
            for (let index = 0; index < 40; index++) {
                queue.push(entry(`a${index}`, "a", index), 1);
            }
            serveAll(queue, 20);
            for (let index = 0; index < 20; index++) {
                queue.push(entry(`b${index}`, "b", index), 1);
            }
            expect(serveAll(queue, 10).filter(one => one.request.team === "b").length).toBeLessThanOrEqual(6);
        });
    });

    describe("over random operations", () => {
        it("serves every request once, each team by deadline (guards against lost requests)", () => {
            const operations = fc.array(fc.tuple(fc.constantFrom("push", "serve", "remove"), fc.nat(3), fc.nat(50)));
            fc.assert(
                fc.property(operations, steps => {
                    const queue = new FairQueue();
                    const waiting = new Set<QueuedRequest>();
                    for (const [index, [operation, team, deadlineAtMs]] of steps.entries()) {
                        const head = queue.head();
                        if (operation === "push" || head === undefined) {
                            const added = entry(String(index), `t${team}`, deadlineAtMs);
                            queue.push(added, team + 1);
                            waiting.add(added);
                            continue;
                        }
                        const earlier = [...waiting].filter(other =>
                            other.request.team === head.request.team && other.deadlineAtMs < head.deadlineAtMs
                        );
                        expect(earlier).toEqual([]);
                        const taken = operation === "serve" ? head : [...waiting][deadlineAtMs % waiting.size]!;
                        if (operation === "serve") {
                            queue.serve(taken, 1);
                        }
                        else {
                            expect(queue.remove(taken)).toBe(true);
                        }
                        waiting.delete(taken);
                        expect(queue.size).toBe(waiting.size);
                    }
                    expect(new Set(serveAll(queue, 1_000))).toEqual(waiting);
                }),
                { seed: 11, numRuns: 200 },
            );
        });
    });
});

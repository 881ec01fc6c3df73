import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { Counters } from "../base/counters.js";
import { EdgeCounterNames, EdgeMetrics, metricName } from "./metrics.js";

describe("EdgeMetrics", () => {
    describe("given all counters", () => {
        it("serves exactly what the operations page lists (guards against undocumented metrics)", () => {
            const counters = new Counters();
            Object.values(EdgeCounterNames).forEach(name => counters.add(name));
            const metrics = new EdgeMetrics(counters);
            metrics.recordTimeToFirstByte(12);
            const served = [...metrics.render().matchAll(/^# TYPE (\S+) /gm)].map(match => match[1]);
            const page = readFileSync("docs/operations.md", "utf8");
            const listed = [...page.matchAll(/^\| `(edge_[a-z_]+)` \|/gm)].map(match => match[1]);
            expect(served.toSorted()).toEqual(listed.toSorted());
        });

        it("gives each counter a unique metric name", () => {
            const names = Object.values(EdgeCounterNames).map(metricName);
            expect(new Set(names).size).toBe(names.length);
        });
    });
});

import { spawnSync } from "node:child_process";
import { describe, expect, it } from "vitest";

describe("docs/settings.md", () => {
    describe("compared with the settings schemas", () => {
        it("is current (guards against a table that misleads operators)", () => {
            const check = spawnSync(process.execPath, ["scripts/settingsDocs.mjs", "--check"], { encoding: "utf8" });
            expect(check.stdout + check.stderr).toBe("docs/settings.md is current\n");
        });
    });
});

import { defineConfig } from "vitest/config";

export default defineConfig({
    test: {
        include: ["src/**/*.spec.ts", "platform/**/*.spec.ts", "test/**/*.spec.ts"],
        setupFiles: ["test/setup.ts"],
        testTimeout: 30_000,
        // Tests start listeners and child processes; too many workers make their timing unreliable.
        maxWorkers: 4,
    },
});

/** The tests that load real processes until their limits; they run one at a time, after the others. */
import { defineConfig } from "vitest/config";

export default defineConfig({
    test: {
        include: ["src/**/*.isolated.ts", "platform/**/*.isolated.ts"],
        setupFiles: ["test/setup.ts"],
        testTimeout: 60_000,
        hookTimeout: 30_000,
        // Each test measures the memory and descriptors of a process under load.
        maxWorkers: 1,
        fileParallelism: false,
    },
});

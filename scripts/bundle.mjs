// Bundles the programs of the deploy file into target/, one file each: separate source files load several times slower.
import { build } from "esbuild";
import { mkdirSync, renameSync } from "node:fs";

const BundlePath = "target/toucan-edge.mjs";

// The rename replaces the bundle atomically, so that a process that starts during a build reads a complete file.
const newPath = `${BundlePath}.${process.pid}`;
mkdirSync("target", { recursive: true });
await build({
    entryPoints: ["platform/main.ts"],
    outfile: newPath,
    bundle: true,
    format: "esm",
    platform: "node",
    target: "node20",
    minifySyntax: true,
    banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" },
    logLevel: "warning",
});
renameSync(newPath, BundlePath);

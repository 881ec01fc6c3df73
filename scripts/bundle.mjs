// Bundles the programs of the deploy file into target/, one file each: single files load several times slower.
import { build } from "esbuild";
import { rmSync } from "node:fs";

rmSync("target", { recursive: true, force: true });
await build({
    entryPoints: { "toucan-edge": "platform/main.ts" },
    outdir: "target",
    outExtension: { ".js": ".mjs" },
    bundle: true,
    format: "esm",
    platform: "node",
    target: "node20",
    minifySyntax: true,
    banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" },
    logLevel: "warning",
});

// Transpiles src/ to dist/ file by file. Types are checked by `npm run typecheck`.
import { build } from "esbuild";
import { chmodSync, readdirSync, rmSync } from "node:fs";
import { join } from "node:path";

const sources = readdirSync("src", { recursive: true })
    .filter(name => name.endsWith(".ts") && !name.endsWith(".spec.ts"))
    .map(name => join("src", name));

rmSync("dist", { recursive: true, force: true });
await build({
    entryPoints: sources,
    outdir: "dist",
    outbase: "src",
    format: "esm",
    platform: "node",
    target: "node20",
    sourcemap: "inline",
    sourcesContent: false,
    logLevel: "warning",
});

for (const name of readdirSync(join("dist", "programs")).filter(name => name.endsWith(".js"))) {
    chmodSync(join("dist", "programs", name), 0o755);
}

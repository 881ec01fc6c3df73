/** Returns unused heap memory to the operating system. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Collects and compacts the heap; called after the configuration is loaded. Blocks the event loop for about 50 ms. */
export function releaseHeap(): void {
    setFlagsFromString("--expose-gc");
    setFlagsFromString("--compact-on-every-full-gc");
    const collectGarbage = runInNewContext("gc") as () => void;
    collectGarbage();
    setFlagsFromString("--no-compact-on-every-full-gc");
}

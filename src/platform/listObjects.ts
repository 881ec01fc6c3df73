/** Lists all objects below a prefix of the platform's store, page by page. */
import type { PlatformStore, StoredObject } from "./platformStore.js";
import { historyOf } from "./storeHistory.js";

/** Maximum number of objects on one page. */
const PageSize = 500;

/** All objects of one history of the store, or the reason why they cannot be listed. */
export type Listing =
    | {
        readonly status: "listed";
        readonly objects: readonly StoredObject[];
        /** The oldest revision as of which a part was listed; watching from it repeats changes during the listing. */
        readonly revision: number | undefined;
    }
    | { readonly status: "unavailable"; readonly reason: string; };

/** @returns The objects whose keys start with the prefix. Never rejects unless the store does. */
export async function listObjects(store: PlatformStore, prefix: string): Promise<Listing> {
    const objects: StoredObject[] = [];
    let afterKey = "";
    let revision: number | undefined;
    for (let more = true; more;) {
        const page = await store.list(prefix, afterKey, PageSize);
        if (page.status === "unavailable") {
            return page;
        }
        if (revision !== undefined && historyOf(page.revision ?? revision) !== historyOf(revision)) {
            return { status: "unavailable", reason: "the store has come back from a copy during the listing" };
        }
        objects.push(...page.objects);
        revision ??= page.revision;
        more = page.more && page.objects.length > 0;
        afterKey = page.objects.at(-1)?.key ?? "";
    }
    return { status: "listed", objects, revision };
}

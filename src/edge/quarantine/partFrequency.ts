/** Counts how many of a host's recent requests carry a prompt part. */

/** Number of requests of each service that are remembered. */
const WindowRequests = 64;

/** Smallest number of requests that a share is based on, so that a few requests of an idle host make no part common. */
const MinRequests = 16;

/** Share of a service's requests above which a part is common. */
const CommonShare = 1 / 4;

/** Maximum number of services. */
const MaxServices = 64;

/** Parts of the newest requests of one service, in a ring. */
interface ServiceWindow {
    readonly requests: (readonly string[])[];
    nextIndex: number;
}

/** Windows of recent requests by service. */
export class PartFrequency {
    readonly #windows = new Map<string, ServiceWindow>();

    /** Records the shared parts of a request. */
    record(service: string, partIds: readonly string[]): void {
        let window = this.#windows.get(service);
        if (window === undefined) {
            if (this.#windows.size >= MaxServices) {
                return;
            }
            window = { requests: [], nextIndex: 0 };
            this.#windows.set(service, window);
        }
        window.requests[window.nextIndex] = partIds;
        window.nextIndex = (window.nextIndex + 1) % WindowRequests;
    }

    /** @returns Number of recent requests of all services that carry the part. */
    count(partId: string): number {
        let total = 0;
        for (const { requests } of this.#windows.values()) {
            total += countRequests(requests, partId);
        }
        return total;
    }

    /** @returns Whether a large share of the requests of a service carries the part. */
    isCommon(partId: string): boolean {
        for (const { requests } of this.#windows.values()) {
            if (countRequests(requests, partId) > CommonShare * Math.max(MinRequests, requests.length)) {
                return true;
            }
        }
        return false;
    }
}

function countRequests(requests: readonly (readonly string[])[], partId: string): number {
    let count = 0;
    for (const partIds of requests) {
        count += partIds.includes(partId) ? 1 : 0;
    }
    return count;
}

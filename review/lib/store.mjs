/** Stand-in for the platform's metadata store over HTTP, as PROTOCOL.md describes it, with copies as in the news pages. */
import http from "node:http";

/** Time that the store takes for an answer, in milliseconds, as in the site file. */
const AnswerMs = 4;

/** A store that listens on a loopback port. All objects are kept in memory. */
export class Store {
    #objects = new Map();
    #changes = [];
    #revision = 10;
    #era = 1;
    #isAway = false;
    #waiting = new Set();
    #lastWriters = [];
    #server = http.createServer((request, response) => this.#serve(request, response));
    port = 0;

    /** Starts to listen on a free port. */
    async start() {
        await new Promise(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        this.port = this.#server.address().port;
    }

    /** Stops listening and closes all connections. */
    stop() {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Writes an object as the operator or a worker does. */
    set(key, spec) {
        this.#apply(key, spec);
    }

    /** @returns The value of an object; `undefined` if there is none. */
    get(key) {
        return this.#objects.get(key)?.spec;
    }

    /** @returns Keys that the system wrote under a condition, the latest one first. */
    get lastConditionalWrites() {
        return [...this.#lastWriters].reverse();
    }

    /** @returns A copy of all objects and of the revision. */
    copy() {
        const objects = [...this.#objects].map(([key, object]) => [key, structuredClone(object)]);
        return { objects, revision: this.#revision, changes: [...this.#changes] };
    }

    /** Resets all connections and answers nothing until {@link comeBack}. */
    goAway() {
        this.#isAway = true;
        this.#waiting.clear();
        this.#server.closeAllConnections();
    }

    /** Comes back from a copy: later writes of the system are gone, what `rewritten` names is written again, the era rises. */
    comeBack(copy, rewritten) {
        const latest = rewritten.map(key => [key, this.#objects.get(key)?.spec]);
        this.#objects = new Map(copy.objects.map(([key, object]) => [key, structuredClone(object)]));
        this.#changes = [...copy.changes];
        this.#revision = copy.revision;
        this.#era++;
        this.#isAway = false;
        for (const [key, spec] of latest) {
            if (spec !== undefined && JSON.stringify(spec) !== JSON.stringify(this.#objects.get(key)?.spec)) {
                this.#apply(key, spec);
            }
        }
    }

    #apply(key, spec) {
        const known = this.#objects.get(key);
        if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) {
            return known;
        }
        this.#revision++;
        const object = { rev: this.#revision, createdRev: known?.createdRev ?? this.#revision, spec };
        this.#objects.set(key, object);
        this.#recordChange(key, object, false);
        return object;
    }

    #remove(key) {
        const object = this.#objects.get(key);
        this.#revision++;
        this.#objects.delete(key);
        this.#recordChange(key, { ...object, rev: this.#revision }, true);
    }

    #recordChange(key, object, tombstone) {
        this.#changes.push({ key, object, tombstone, rev: this.#revision });
        for (const wake of [...this.#waiting]) {
            wake();
        }
    }

    async #serve(request, response) {
        if (this.#isAway) {
            request.socket.resetAndDestroy();
            return;
        }
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, AnswerMs));
        if (this.#isAway) {
            request.socket.resetAndDestroy();
            return;
        }
        const url = new URL(request.url, "http://store");
        const [, , kind, name = ""] = url.pathname.split("/").map(decodeURIComponent);
        const text = Buffer.concat(chunks).toString();
        const body = text === "" ? {} : JSON.parse(text);
        if (request.method !== "GET") {
            this.#write(request.method, kind, name, body, url, response);
        }
        else if (name !== "") {
            const object = this.#objects.get(`${kind}/${name}`);
            this.#answer(response, object === undefined ? 404 : 200, object === undefined ? {} : wire(name, object));
        }
        else if (url.searchParams.has("watch")) {
            this.#watch(kind, Number(url.searchParams.get("watch")), Number(url.searchParams.get("wait-ms")), response);
        }
        else {
            const items = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`))
                .map(([key, object]) => wire(key.slice(kind.length + 1), object));
            this.#answer(response, 200, { items, "truncated": false, "current-rev": this.#revision });
        }
    }

    #write(method, kind, pathName, body, url, response) {
        const name = pathName === "" ? body.metadata.name : pathName;
        const key = `${kind}/${name}`;
        const known = this.#objects.get(key);
        const condition = body.metadata?.rev ?? (url.searchParams.has("rev") ? Number(url.searchParams.get("rev")) : undefined);
        const isConflict = method === "POST" ? known !== undefined : condition !== undefined && condition !== known?.rev;
        if (method !== "POST" && known === undefined) {
            this.#answer(response, 404, {});
            return;
        }
        if (isConflict) {
            this.#answer(response, 409, wire(name, known));
            return;
        }
        if (method === "POST" || condition !== undefined) {
            this.#lastWriters.push(key);
        }
        if (method === "DELETE") {
            this.#remove(key);
            this.#answer(response, 200, wire(name, known));
            return;
        }
        this.#answer(response, method === "POST" ? 201 : 200, wire(name, this.#apply(key, body.spec)));
    }

    #watch(kind, revision, waitMs, response) {
        if (revision > this.#revision) {
            this.#answer(response, 410, {});
            return;
        }
        const finish = isDue => {
            const changes = this.#changes.filter(change => change.key.startsWith(`${kind}/`) && change.rev > revision);
            if (changes.length === 0 && !isDue) {
                return;
            }
            clearTimeout(timer);
            this.#waiting.delete(wake);
            const events = changes.map(({ key, object, tombstone }) => (
                { object: wire(key.slice(kind.length + 1), object), tombstone }
            ));
            this.#answer(response, 200, { events, "current-rev": this.#revision });
        };
        const wake = () => finish(false);
        const timer = setTimeout(() => finish(true), waitMs);
        this.#waiting.add(wake);
        response.once("close", () => {
            clearTimeout(timer);
            this.#waiting.delete(wake);
        });
        finish(false);
    }

    #answer(response, status, body) {
        if (response.destroyed || response.headersSent) {
            return;
        }
        const text = JSON.stringify(body);
        response.writeHead(status, {
            "Content-Type": "application/json",
            "Content-Length": Buffer.byteLength(text),
            "Store-Era": String(this.#era),
        });
        response.end(text);
    }
}

function wire(name, object) {
    const metadata = { name, "rev": object.rev, "created-rev": object.createdRev, "finalizers": [], "deleting": false };
    return { metadata, spec: object.spec, status: null };
}

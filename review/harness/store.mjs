// Stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store"): objects with revisions, conditional writes,
// lists and watches. It can be away, and can come back from a copy (news page, "After landing 7").
import { createServer } from "node:http";

/** Time for which changes are kept, in milliseconds. */
const HistoryMs = 20_000;

/** A metadata store on a loopback address. */
export class Store {
    era = 1;
    /** Whether the store is away: connections are reset. */
    isAway = false;
    #objects = new Map();
    #revision = 1;
    #changes = [];
    #oldestRevision = 1;
    #waiting = new Set();
    #server = createServer((request, response) => this.#serve(request, response));

    async start(ip) {
        await new Promise(resolve => this.#server.listen(0, ip, resolve));
        this.address = `${ip}:${this.#server.address().port}`;
    }

    stop() {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    get revision() {
        return this.#revision;
    }

    get(key) {
        return this.#objects.get(key);
    }

    keys(prefix) {
        return [...this.#objects.keys()].filter(key => key.startsWith(prefix));
    }

    /** Writes an object as the operator or a worker does. */
    set(key, spec) {
        const known = this.#objects.get(key);
        if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) {
            return known.rev;
        }
        return this.#put(key, spec, known);
    }

    remove(key) {
        if (this.#objects.delete(key)) {
            this.#record(key, undefined);
        }
    }

    /** Returns a copy from which the store can come back. */
    copy() {
        return { objects: new Map(this.#objects), revision: this.#revision };
    }

    goAway() {
        this.isAway = true;
        this.#waiting.clear();
        this.#server.closeAllConnections();
    }

    comeBack() {
        this.isAway = false;
    }

    /** Comes back from a copy: later writes are gone, and revisions are given out again. */
    comeBackFrom({ objects, revision }) {
        this.#objects = new Map(objects);
        this.#revision = revision;
        this.#changes = [];
        this.#oldestRevision = revision;
        this.#waiting.clear();
        this.#server.closeAllConnections();
        this.era++;
        this.isAway = false;
    }

    #put(key, spec, known) {
        const rev = this.#revision + 1;
        this.#objects.set(key, { rev, createdRev: known?.createdRev ?? rev, spec, status: known?.status ?? null });
        this.#record(key, this.#objects.get(key));
        return rev;
    }

    #record(key, object) {
        this.#revision++;
        this.#changes.push({ key, object, rev: this.#revision, atMs: Date.now() });
        while (this.#changes.length > 0 && Date.now() - this.#changes[0].atMs > HistoryMs) {
            this.#oldestRevision = this.#changes.shift().rev;
        }
        for (const wake of [...this.#waiting]) {
            wake(key);
        }
    }

    async #serve(request, response) {
        if (this.isAway) {
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
        const url = new URL(request.url, "http://store");
        const [, , kind, encodedName, part] = url.pathname.split("/");
        const call = {
            method: request.method,
            kind,
            name: encodedName === undefined ? undefined : decodeURIComponent(encodedName),
            part,
            query: url.searchParams,
            body: chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString()),
        };
        this.#perform(call, response);
    }

    #perform(call, response) {
        if (call.method !== "GET") {
            this.#write(call, response);
        }
        else if (call.name !== undefined) {
            const key = `${call.kind}/${call.name}`;
            const object = this.#objects.get(key);
            this.#respond(response, object === undefined ? 404 : 200, object === undefined ? {} : wireObject(key, object));
        }
        else if (call.query.has("watch")) {
            this.#watch(call, response);
        }
        else {
            const after = call.query.get("after-rev") ?? "";
            const items = this.keys(`${call.kind}/`).filter(key => key.slice(call.kind.length + 1) > after).sort()
                .map(key => wireObject(key, this.#objects.get(key)));
            this.#respond(response, 200, { items, "truncated": false, "current-rev": this.#revision });
        }
    }

    #write({ method, kind, name, part, query, body }, response) {
        const key = `${kind}/${name ?? body?.metadata?.name}`;
        const known = this.#objects.get(key);
        if (method === "POST" ? known !== undefined : known === undefined) {
            this.#respond(response, method === "POST" ? 409 : 404, known === undefined ? {} : wireObject(key, known));
            return;
        }
        const condition = method === "DELETE" ? query.get("rev") : body?.metadata?.rev;
        if (method !== "POST" && condition !== undefined && condition !== null && Number(condition) !== known.rev) {
            this.#respond(response, 409, wireObject(key, known));
            return;
        }
        if (method === "DELETE") {
            this.remove(key);
            this.#respond(response, 200, wireObject(key, known));
            return;
        }
        if (part === "status") {
            known.status = body.status;
            this.#put(key, known.spec, known);
        }
        else if (known === undefined || JSON.stringify(known.spec) !== JSON.stringify(body.spec)) {
            this.#put(key, body.spec, known);
        }
        this.#respond(response, 200, wireObject(key, this.#objects.get(key)));
    }

    #watch({ kind, query }, response) {
        const since = Number(query.get("watch"));
        const finish = () => {
            clearTimeout(timer);
            this.#waiting.delete(wake);
            if (since < this.#oldestRevision || since > this.#revision) {
                this.#respond(response, 410, {});
                return;
            }
            const events = this.#changes.filter(({ key, rev }) => rev > since && key.startsWith(`${kind}/`))
                .map(({ key, object }) => ({
                    tombstone: object === undefined,
                    object: wireObject(key, object ?? { rev: this.#revision, createdRev: 1, spec: null, status: null }),
                }));
            this.#respond(response, 200, { events, "current-rev": this.#revision });
        };
        const wake = key => {
            if (key.startsWith(`${kind}/`)) {
                finish();
            }
        };
        const timer = setTimeout(finish, Number(query.get("wait-ms") ?? 0));
        this.#waiting.add(wake);
        response.once("close", () => {
            clearTimeout(timer);
            this.#waiting.delete(wake);
        });
        const hasEvents = this.#changes.some(({ key, rev }) => rev > since && key.startsWith(`${kind}/`));
        if (hasEvents || since < this.#oldestRevision || since > this.#revision) {
            finish();
        }
    }

    #respond(response, status, body) {
        const bytes = Buffer.from(JSON.stringify(body));
        response.writeHead(status, {
            "Content-Type": "application/json",
            "Content-Length": bytes.length,
            "Store-Era": this.era,
        });
        response.end(bytes);
    }
}

function wireObject(key, { rev, createdRev, spec, status }) {
    const name = key.slice(key.indexOf("/") + 1);
    return { metadata: { name, rev, "created-rev": createdRev, finalizers: [], deleting: false }, spec, status };
}

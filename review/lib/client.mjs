/** Stand-in for clients: each keeps one connection to one machine and sends one request at a time on it. */
import http from "node:http";

let requestCount = 0;

/** A client with one kept connection. */
export class Client {
    #edge;
    #record;
    #agent = new http.Agent({ keepAlive: true, maxSockets: 1, timeout: 0 });

    /** @param record Called with a line for each request and each answer. */
    constructor(edge, record) {
        this.#edge = edge;
        this.#record = record;
    }

    /** Closes the connection. */
    close() {
        this.#agent.destroy();
    }

    /**
     * Sends a request and waits for the end of its answer.
     * @param request `method`, `path`, `key`, `deadlineMs`, and `headers` and `body` where there are any.
     * @returns `status` (0 without a status line), `isComplete`, `events`, `wasKept`: whether the connection had carried a request, and
     * `hasTimedOut`: whether the client closed it after the deadline.
     */
    send({ method, path, key, deadlineMs, headers = {}, body }) {
        const id = `r${process.pid.toString(16)}${(++requestCount).toString(16).padStart(6, "0")}`;
        return new Promise(resolve => {
            let hasTimedOut = false;
            let status = 0;
            let text = "";
            let wasKept = false;
            const finish = isComplete => {
                clearTimeout(timer);
                const events = text.split("\n\n").length - 1;
                const result = { id, status, isComplete, events, body: text, wasKept, hasTimedOut, edge: this.#edge.name };
                this.#record(`answer ${id} status=${status} complete=${isComplete} events=${events}`);
                resolve(result);
            };
            const call = http.request({
                host: this.#edge.ip,
                port: this.#edge.frontPort,
                agent: this.#agent,
                method,
                path,
                headers: {
                    "Host": "h.example",
                    "Authorization": `Bearer ${key}`,
                    "Toucanjunction-Request-Id": id,
                    "Toucanjunction-Request-Deadline": String(deadlineMs),
                    ...headers,
                    ...body === undefined ? {} : { "Content-Length": Buffer.byteLength(body) },
                },
            }, response => {
                status = response.statusCode;
                response.on("data", bytes => text += bytes.toString("latin1"));
                response.on("end", () => finish(response.complete));
                response.on("error", () => finish(false));
            });
            const timer = setTimeout(() => {
                hasTimedOut = true;
                call.destroy();
            }, deadlineMs + 500);
            call.on("socket", () => wasKept = call.reusedSocket);
            call.on("error", () => finish(false));
            this.#record(`send ${id} to ${this.#edge.name} ${method} ${path} key=${key}`);
            call.end(body);
        });
    }
}

/** Sends requests at a mean rate until it is stopped, each on an idle kept connection, or on a new one where none is idle. */
export class Traffic {
    #clients = new Map();
    #edges;
    #record;
    #timers = [];
    #next = 0;
    results = [];
    open = 0;

    constructor(edges, record) {
        this.#edges = edges;
        this.#record = record;
        edges.forEach(edge => this.#clients.set(edge, []));
    }

    /** Starts to send `perS` requests a second, to the machines in turn. */
    start(perS, makeRequest) {
        this.#timers.push(setInterval(() => void this.sendOne(makeRequest()), 1_000 / perS));
        return this.#timers.at(-1);
    }

    /** Sends one request, to the next machine or to a given one, and keeps its result. */
    async sendOne(request, edge = this.#edges[this.#next++ % this.#edges.length]) {
        const idle = this.#clients.get(edge);
        const client = idle.pop() ?? new Client(edge, this.#record);
        const sentAtMs = performance.now();
        this.open++;
        const result = await client.send(request);
        this.open--;
        idle.push(client);
        const kept = { ...result, request, sentAtMs, endedAtMs: performance.now() };
        this.results.push(kept);
        return kept;
    }

    /** Stops sending and waits until all requests have ended. */
    async stop() {
        this.#timers.forEach(timer => clearInterval(timer));
        while (this.open > 0) {
            await new Promise(resolve => setTimeout(resolve, 50));
        }
        this.#clients.forEach(clients => clients.forEach(client => client.close()));
    }
}

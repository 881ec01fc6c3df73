/** Stand-in for the workers, as PROTOCOL.md describes them: plain services and model workers that write streams. */
import http from "node:http";

/** A worker of one service. */
export class Worker {
    id;
    service;
    #record;
    #options;
    #running = 0;
    /** Ids of the requests that ran. */
    ran = new Set();
    #answers = 0;
    #server = this.#createServer();
    /** Called with each answer that is due: the request, its id and the number of the answer; returns raw bytes instead, or `undefined`. */
    spoil = () => undefined;
    /** @returns Whether the worker crashes when it begins to write an answer to the request. */
    crashesOn = () => false;
    /** Called when a request on which the worker crashes has arrived, and when it has crashed. */
    onArrival = () => undefined;
    onCrash = () => undefined;
    #sockets = new Set();
    #port = 0;
    entry;

    /**
     * @param options `zone`, `slots`, `workMs` of a plain request; for streams `firstEventMs` and `eventMs`.
     * @param record Called with a line for each request that runs.
     */
    constructor(id, service, options, record) {
        this.id = id;
        this.service = service;
        this.#options = options;
        this.#record = record;
    }

    #createServer() {
        const server = http.createServer({ keepAliveTimeout: 30_000 }, (request, response) => void this.#serve(request, response));
        server.on("connection", socket => {
            this.#sockets.add(socket);
            socket.once("close", () => this.#sockets.delete(socket));
        });
        return server;
    }

    /** Ends as a process does that crashes: all connections are reset, and the address refuses connections. */
    #crash() {
        this.#server.close();
        this.#sockets.forEach(socket => socket.resetAndDestroy());
        this.#running = 0;
        this.onCrash();
    }

    /** Starts again at the same address, as a new incarnation. */
    async restart(store) {
        this.#server = this.#createServer();
        await this.start(store);
    }

    /** Starts to listen and writes the worker's entry into the store. */
    async start(store) {
        await new Promise(resolve => this.#server.listen(this.#port, "127.0.0.1", resolve));
        this.#port = this.#server.address().port;
        this.entry = {
            "service": this.service,
            "address": `127.0.0.1:${this.#port}`,
            "zone": this.#options.zone,
            "version": "1",
            "slots": this.#options.slots,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
            "born": Date.now(),
        };
        store.set(`servers/${this.id}`, this.entry);
    }

    /** Stops listening and closes all connections. */
    stop() {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    async #serve(request, response) {
        try {
            for await (const chunk of request) {
                void chunk;
            }
        }
        catch {
            return;
        }
        const { headers } = request;
        const id = headers["toucanjunction-request-id"];
        const target = headers["toucanjunction-target-instance"];
        const base = { "Toucanjunction-Request-Id": id ?? "" };
        if (target !== undefined && target !== this.id) {
            response.writeHead(421, { ...base, "Toucanjunction-Instance-Id": this.id, "Content-Length": 0 }).end();
            return;
        }
        if (id === undefined || this.#running >= this.#options.slots) {
            const status = id === undefined ? 400 : 503;
            response.writeHead(status, { ...base, "Toucanjunction-Not-Executed": "1", "Content-Length": 0 }).end();
            return;
        }
        this.#running++;
        this.ran.add(id);
        this.#record(`run ${id} at ${this.id} tenant=${headers["toucanjunction-tenant"] ?? "-"} ${request.method} ${request.url}`);
        response.once("close", () => this.#running--);
        if (this.crashesOn(request)) {
            this.onArrival(id);
            setTimeout(() => this.#server.listening && !response.destroyed && this.#crash(), this.#options.firstEventMs);
            return;
        }
        const counts = /^([0-9]+),([0-9]+)$/.exec(headers["toucanjunction-token-counts"] ?? "");
        const signed = { ...base, "Toucanjunction-Server-Signature": `${this.id}.${id}` };
        if (counts === null) {
            setTimeout(() => this.#answer(request, response, id, signed), this.#options.workMs);
        }
        else {
            this.#stream(response, Number(headers["last-event-id"] ?? 0), Math.ceil(Number(counts[2]) / this.#options.stride), signed);
        }
    }

    #answer(request, response, id, signed) {
        this.#answers++;
        const raw = this.spoil(request, id, this.#answers);
        if (raw !== undefined) {
            this.#record(`spoilt answer of ${id} at ${this.id}`);
            request.socket.end(raw);
            return;
        }
        const body = `${this.id} ran ${id}`;
        response.writeHead(200, { ...signed, "Content-Type": "text/plain", "Content-Length": body.length }).end(body);
    }

    /** Writes an event for each `stride` output tokens, after the time that reading the prompt takes. */
    #stream(response, lastEventId, eventCount, signed) {
        let sent = lastEventId;
        const { firstEventMs, eventMs } = this.#options;
        const writeNext = () => {
            if (response.destroyed) {
                return;
            }
            if (!response.headersSent) {
                response.writeHead(200, { ...signed, "Content-Type": "text/event-stream" });
            }
            sent++;
            response.write(`id: ${sent}\ndata: token\n\n`);
            if (sent >= eventCount) {
                response.end();
                return;
            }
            setTimeout(writeNext, eventMs);
        };
        setTimeout(writeNext, firstEventMs);
    }
}

// Stand-in for a model worker: registers itself in the store and answers streaming requests with events of `stride` output tokens.
import { createServer } from "node:http";

const HeartbeatMs = 1_200;
export const Stride = 4;

/** A model worker on a loopback address. */
export class Engine {
    #timer;
    #seq = 0;
    #server = createServer((request, response) => this.#serve(request, response));

    constructor(id, service, zone, store, options = {}) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.firstEventMs = options.firstEventMs ?? 60;
        this.eventMs = options.eventMs ?? 10;
        this.eventCount = options.eventCount ?? 10;
        this.runs = [];
    }

    async start(ip) {
        await new Promise(resolve => this.#server.listen(0, ip, resolve));
        this.address = `${ip}:${this.#server.address().port}`;
        this.born = Date.now();
        this.beat();
        this.#timer = setInterval(() => this.beat(), HeartbeatMs);
    }

    /** Writes the entry, unless nothing but `seq` would change. */
    beat() {
        if (!this.store.isAway && this.store.get(`servers/${this.id}`) === undefined) {
            this.store.set(`servers/${this.id}`, {
                service: this.service,
                address: this.address,
                zone: this.zone,
                version: "v1",
                slots: 128,
                state: "ready",
                "cold-left-ms": 0,
                born: this.born,
                seq: ++this.#seq,
            });
        }
    }

    stop() {
        clearInterval(this.#timer);
        this.#server.close();
        this.#server.closeAllConnections();
    }

    #serve(request, response) {
        request.resume();
        const id = String(request.headers["toucanjunction-request-id"]);
        if (request.headers["toucanjunction-target-instance"] !== this.id) {
            response.writeHead(421, { "Toucanjunction-Request-Id": id, "Toucanjunction-Instance-Id": this.id, "Content-Length": 0 });
            response.end();
            return;
        }
        const run = {
            id,
            tenant: request.headers["toucanjunction-tenant"],
            atMs: Date.now(),
            after: Number(request.headers["last-event-id"] ?? 0),
            events: 0,
        };
        this.runs.push(run);
        let timer = setTimeout(() => {
            response.writeHead(200, {
                "Toucanjunction-Request-Id": id,
                "Toucanjunction-Server-Signature": `sig-${id}`,
                "Content-Type": "text/event-stream",
            });
            const next = () => {
                run.events++;
                const number = run.after + run.events;
                response.write(`id: ${number}\ndata: ${"x".repeat(40)}\n\n`);
                if (number >= this.eventCount) {
                    response.end();
                }
                else {
                    timer = setTimeout(next, this.eventMs);
                }
            };
            next();
        }, this.firstEventMs);
        response.once("close", () => clearTimeout(timer));
        response.on("error", () => undefined);
    }
}

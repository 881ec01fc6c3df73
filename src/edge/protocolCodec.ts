/** Translation between a deployment's names on the wire and the edge's own types. */
import type {
    DispatchMetadata,
    EdgeConfiguration,
    RequestMetadata,
    ResponseMetadata,
    UpstreamEntry,
} from "./edgeTypes.js";
import type { ResponseHead } from "./transport/responseParser.js";

/** Header names and values in wire order, alternating, as Node's `rawHeaders`. */
export type RawHeaders = readonly string[];

/** Headers of requests and responses. */
export abstract class HeaderCodec {
    /** @returns What the headers of a caller's request say. */
    abstract readRequestHeaders(headers: RawHeaders): RequestMetadata;

    /**
     * Drops every header that only the edge may set, the API key and headers of the caller's connection.
     * @returns Headers for the upstream, alternating names and values.
     */
    abstract encodeUpstreamHeaders(headers: RawHeaders, facts: DispatchMetadata): string[];

    /** @returns What the head of a response says. */
    abstract readResponseHead(head: ResponseHead): ResponseMetadata;

    /** @returns Name of the header that carries the request's id. */
    abstract get requestIdHeader(): string;
}

/** Objects in the platform's store. */
export abstract class ObjectCodec {
    /** Key of the object that holds the newest configuration. */
    abstract get configurationKey(): string;

    /** Common prefix of the keys of upstreams. */
    abstract get upstreamPrefix(): string;

    /** Prefix under which the edge keeps budgets. */
    abstract get budgetPrefix(): string;

    /** Prefix under which each host of the edge keeps its address. */
    abstract get hostPrefix(): string;

    /**
     * @param value Stored value.
     * @returns The configuration, or what is wrong with it.
     */
    abstract readConfiguration(value: unknown): EdgeConfiguration | string;

    /**
     * @param name Last part of the object's key.
     * @returns The upstream, or what is wrong with the entry.
     */
    abstract readUpstream(name: string, value: unknown): UpstreamEntry | string;
}

/** Translation between a deployment's wire formats and the edge's own types. */
import type {
    DispatchMetadata,
    EdgeConfiguration,
    RequestMetadata,
    ResponseMetadata,
    UpstreamEntry,
} from "./edgeTypes.js";
import type { ResponseHead } from "./transport/responseParser.js";

/** Alternating header names and values in wire order, as in Node's `rawHeaders`. */
export type RawHeaders = readonly string[];

/** Reads and writes the headers of requests and responses in a deployment's format. */
export abstract class HeaderCodec {
    /** @returns The metadata in the headers of a caller's request. */
    abstract readRequestHeaders(headers: RawHeaders): RequestMetadata;

    /**
     * Removes the API key, connection headers of the caller and every header that only the edge may set, and adds the metadata.
     * @returns Headers for the upstream, as alternating names and values.
     */
    abstract encodeUpstreamHeaders(headers: RawHeaders, metadata: DispatchMetadata): string[];

    /** @returns The metadata in the head of an upstream's response. */
    abstract readResponseHead(head: ResponseHead): ResponseMetadata;

    /**
     * @param name Name of a header of a response, in lower case.
     * @returns Whether the header is meant for the edge, so that callers do not get it.
     */
    abstract isForEdgeOnly(name: string): boolean;

    /** @returns Name of the header that holds the request's id. */
    abstract get requestIdHeader(): string;
}

/** Keys and formats of the objects in the platform's store. */
export abstract class ObjectCodec {
    /** Key of the object that holds the newest configuration. */
    abstract get configurationKey(): string;

    /** Common prefix of the keys of upstreams. */
    abstract get upstreamPrefix(): string;

    /** Common prefix of the keys of evacuations of availability zones. */
    abstract get evacuationPrefix(): string;

    /** Common prefix of the keys under which the edge stores budgets. */
    abstract get budgetPrefix(): string;

    /** Key of the object in which the edge records evidence of prompt parts that crash upstreams. */
    abstract get evidenceKey(): string;

    /** Common prefix of the keys under which each host of the edge stores its address. */
    abstract get hostPrefix(): string;

    /**
     * @param value Stored value.
     * @returns The configuration, or a description of the problem when it is invalid.
     */
    abstract readConfiguration(value: unknown): EdgeConfiguration | string;

    /**
     * @param name The object's key without the prefix.
     * @param value Stored value.
     * @returns The upstream, or a description of the problem when the entry is invalid.
     */
    abstract readUpstream(name: string, value: unknown): UpstreamEntry | string;

    /**
     * @param name The object's key without the prefix.
     * @param value Stored value.
     * @returns The evacuated availability zone, or a description of the problem when the object is invalid.
     */
    abstract readEvacuation(name: string, value: unknown): { readonly zone: string; } | { readonly problem: string; };
}

/** Addresses of the form `IP:port`. */

/** A host and a port. */
export interface HostPort {
    readonly host: string;
    readonly port: number;
}

/**
 * @param address `IP:port`.
 * @returns Both parts.
 */
export function splitAddress(address: string): HostPort {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

/** Addresses of the form `IP:port`. */

/** A host and a port. */
export interface HostPort {
    readonly host: string;
    readonly port: number;
}

/**
 * Splits an address at its last colon. The address is not validated: a port that is not a number becomes `NaN`.
 * @param address Address of the form `IP:port`.
 */
export function splitAddress(address: string): HostPort {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

/** Maximum port number. */
const MaxPort = 65_535;

/** @returns Whether an address has a host and a port to which a connection can be opened. */
export function hasUsablePort(address: string): boolean {
    const { host, port } = splitAddress(address);
    return host !== "" && Number.isInteger(port) && port >= 1 && port <= MaxPort;
}

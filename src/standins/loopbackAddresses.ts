/** Loopback addresses for tests whose listeners must know each other's address before they start. */

/** Number of addresses of one process. */
const AddressesPerProcess = 4;

/**
 * @param count Number of addresses, at most {@link AddressesPerProcess}.
 * @returns IPv4 addresses of the loopback network that differ between processes, so that tests that run at the same time do not
 * take each other's ports.
 */
export function loopbackAddresses(count: number): string[] {
    return Array.from({ length: count }, (_, index) => {
        const host = process.pid * AddressesPerProcess + index;
        return `127.${64 + ((host >> 16) & 0x7f)}.${(host >> 8) & 0xff}.${host & 0xff}`;
    });
}

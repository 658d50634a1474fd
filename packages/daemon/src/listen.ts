/**
 * Starts servers.
 *
 * @packageDocumentation
 */

import type { AddressInfo, Server } from "node:net";

/**
 * Starts listening.
 *
 * @param server - The server.
 * @param endpoint - Address and port; port 0 selects a free one.
 * @returns The port.
 * @throws The system's error if the address is unavailable.
 */
export const listenOn = async (
    server: Server,
    { address, port }: { readonly address: string; readonly port: number; },
): Promise<number> => {
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, resolve);
    });
    return (server.address() as AddressInfo).port;
};

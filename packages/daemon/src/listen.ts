/**
 * Beginning to listen.
 *
 * @packageDocumentation
 */

import type { AddressInfo, Server } from "node:net";

/**
 * Lets a server listen.
 *
 * @param server - The server.
 * @param place - Address and port; port 0 takes a free one.
 * @returns The port.
 * @throws The system's error when the address cannot be taken.
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

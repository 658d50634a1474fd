/**
 * Finding the route of a request.
 *
 * @packageDocumentation
 */

import { asError } from "@harrierhitch/core";
import findMyWay, { type HTTPMethod } from "find-my-way";
import type { Route } from "./configuration.js";

/** Finds routes by method and path. */
export class Router {
    private readonly routes = findMyWay({ ignoreTrailingSlash: false, maxParamLength: 1024 });

    /**
     * Adds a route.
     *
     * @returns What is wrong with its path, if anything.
     */
    add(route: Route): string | undefined {
        try {
            this.routes.on(route.method, route.path, unusedHandler, route);
            return undefined;
        }
        catch (thrown) {
            return asError(thrown).message;
        }
    }

    /**
     * Finds the route of a request. `HEAD` falls back to `GET`.
     *
     * @param method - HTTP method in capitals.
     * @param path - Path without the query.
     */
    find(method: string, path: string): Route | undefined {
        const found = this.routes.find(method as HTTPMethod, path);
        if (found !== null) {
            return (found.store ?? undefined) as Route | undefined;
        }
        return method === "HEAD" ? this.find("GET", path) : undefined;
    }
}

/** The library calls handlers; here only the route beside it is used. */
const unusedHandler = (): void => undefined;

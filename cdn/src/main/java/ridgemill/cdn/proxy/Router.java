package ridgemill.cdn.proxy;

/** Makes the exchange of each request that comes in. */
interface Router {

    /** The exchange for a request; null if it was answered at once. */
    Exchange route(ClientConnection client, ClientRequest request);
}

package ridgemill.cdn.proxy;

/** Creates the exchange for each incoming request. */
interface Router {

    /** Creates the exchange for a request; null if it was answered at once. */
    Exchange route(ClientConnection client, ClientRequest request);
}

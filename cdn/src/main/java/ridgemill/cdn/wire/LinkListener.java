package ridgemill.cdn.wire;

/** Receives the events of a link, on its event loop. */
public interface LinkListener {

    /** Called once the link is open: {@link LinkMessages.Hello} has been sent or received. */
    void opened(Link link);

    /** Called for each received message that is neither a ping or pong nor a reply to a call. */
    void received(Link link, Message message);

    /** Called when the link has closed. It will not be opened again. */
    void closed(Link link);
}

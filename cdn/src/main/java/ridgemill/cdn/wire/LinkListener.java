package ridgemill.cdn.wire;

/** Told of the events of a link, on its event loop. */
public interface LinkListener {

    /** The link is open; {@link LinkMessages.Hello} has been sent, or has been received. */
    void opened(Link link);

    /** A message came that is neither part of the link's own upkeep nor an answer to a call. */
    void received(Link link, Message message);

    /** The link has ended; it will not be opened again. */
    void closed(Link link);
}

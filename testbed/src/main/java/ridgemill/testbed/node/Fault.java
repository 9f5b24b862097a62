package ridgemill.testbed.node;

/** What a stand-in may do to a request instead of serving it. */
public enum Fault {
    /** Resets as soon as a first byte has come: never runs. */
    RESET_ON_FIRST_BYTE,
    /** Resets once the request is there: never runs, which the other side can't know. */
    RESET_BEFORE_RUN,
    /** Runs it, then resets without an answer. */
    RESET_AFTER_RUN,
    /** Runs it, sends half of the answer, then resets. */
    HALF_ANSWER,
    /** Runs it, sends half of the answer, then nothing more. */
    HALF_ANSWER_STALL,
    /** Never answers, and does not run it. */
    SILENCE,
    /** Runs it and never answers. */
    SILENCE_AFTER_RUN,
    /** Runs it and answers 500. */
    ERROR,
    /** Runs it and answers noise. */
    NOISE,
    /** Runs it and answers a head that does not end. */
    ENDLESS_HEAD,
    /** Runs it and answers with a length that is shorter than the body. */
    SHORT_LENGTH,
    /** Answers well, and sends a second copy right behind. */
    SECOND_COPY
}

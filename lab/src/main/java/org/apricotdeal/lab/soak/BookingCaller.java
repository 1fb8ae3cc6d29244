package org.apricotdeal.lab.soak;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * A caller of a run with bookings. It repeats keyed requests at other nodes until it is answered, sometimes at once,
 * sometimes long after; it never repeats a request without a key that may not be repeated.
 */
final class BookingCaller {
    private static final long CLIENT_TIMEOUT_MILLIS = 1_500;
    private static final int MAX_COPIES = 6;

    private final String name;
    private final BookingWorld world;
    private final List<BookingNode> nodes;
    private final UniformRandomProvider random;
    private int begun;

    /** One booking and what its caller knows of it. */
    private static final class Booking {
        private final BookingRequest request;
        private int copies;
        private boolean answered;

        Booking(BookingRequest request) {
            this.request = request;
        }
    }

    BookingCaller(String name, BookingWorld world, List<BookingNode> nodes) {
        this.name = name;
        this.world = world;
        this.nodes = nodes;
        this.random = world.scheduler().random();
    }

    int begun() {
        return begun;
    }

    void start() {
        world.scheduler().after(50 + random.nextLong(300), () -> {
            begin();
            start();
        });
    }

    private void begin() {
        begun++;
        int kind = random.nextInt(10);
        String subject = name + "-" + begun;
        String key = kind < 7 ? subject : null;
        Booking booking = new Booking(new BookingRequest(subject, key, "payload" + begun, kind == 9));
        send(booking, booking.request);
        if (key == null) {
            return;
        }
        if (random.nextInt(4) == 0) {
            world.scheduler().after(random.nextLong(60), () -> send(booking, booking.request));
        }
        if (random.nextInt(3) == 0) {
            world.scheduler().after(random.nextLong(2 * world.retentionMillis()), () -> send(booking, booking.request));
        }
        if (random.nextInt(15) == 0) {
            BookingRequest other = new BookingRequest(subject, key, "other" + begun, false);
            world.scheduler().after(random.nextLong(500), () -> send(booking, other));
        }
    }

    private void send(Booking booking, BookingRequest request) {
        booking.copies++;
        BookingNode node = nodes.get(random.nextInt(nodes.size()));
        boolean[] received = new boolean[1];
        boolean[] replied = new boolean[1];
        world.network().send(name, node.name(), () -> {
            if (received[0] && request.key() == null) {
                return;
            }
            received[0] = true;
            node.receive(request, answer -> world.network().send(node.name(), name, () -> {
                replied[0] = true;
                answered(booking, request, answer);
            }));
        });
        world.scheduler().after(CLIENT_TIMEOUT_MILLIS, () -> {
            if (!replied[0]) {
                retryLater(booking, request);
            }
        });
    }

    private void answered(Booking booking, BookingRequest request, BookingAnswer answer) {
        if (answer instanceof BookingAnswer.Answered) {
            booking.answered = true;
            return;
        }
        retryLater(booking, request);
    }

    private void retryLater(Booking booking, BookingRequest request) {
        boolean mayRepeat = request.key() != null || request.repeatable();
        if (booking.answered || !mayRepeat || booking.copies >= MAX_COPIES) {
            return;
        }
        world.scheduler().after(50 + random.nextLong(500), () -> send(booking, request));
    }
}

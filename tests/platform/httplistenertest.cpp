#include "httplistener.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

// A stop that came before the listener's thread had begun was ignored, and the thread never ended.
TEST(HttpListener, StopsWhenItWasJustStarted)
{
    for (int count = 0; count < 300; ++count) {
        HttpListener listener("127.0.0.1:0", ListenerOptions());
        listener.start();
        listener.stop();
    }
}

} // namespace waxwingloft::tests

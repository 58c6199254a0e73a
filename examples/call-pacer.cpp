#include <Pimentoward/Core/CallPacer.h>

#include <iostream>

/// Uses one class of the library on its own. Counts how many of 1,000 calls, spread evenly over one
/// second of simulated time, a CallPacer with a rate of 100 calls per second allows.
int main()
{
    constexpr double callsPerSecond = 100;
    constexpr double burst = 10;
    pimentoward::CallPacer pacer(callsPerSecond, burst);
    pimentoward::SteadyTime now {std::chrono::hours(1)};
    int allowed = 0;
    for (int call = 0; call < 1000; ++call) {
        allowed += pacer.tryAcquire(now) ? 1 : 0;
        now += std::chrono::milliseconds(1);
    }
    std::cout << "allowed " << allowed << " of 1000\n";
    // The burst of 10 calls, and the 99 further calls that the rate allows within 999 ms.
    constexpr int expected = 109;
    return allowed == expected ? 0 : 1;
}

// Case: one answer of the store is lost, that to the watch which brings a new configuration.
#include "site.hh"

#include <cstdio>
#include <cstdlib>

using namespace review;

namespace {

constexpr double configApplyS = 2.0; // bound config-apply
constexpr double stableWindowS = 3.0; // bound stable-window
constexpr double observedS = 8.0;

struct Sent
{
    std::string id;
    std::string host;
    double at = 0;
    Answer answer;
};

} // namespace

int main(int count, char **values)
{
    const auto trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    if (count != 2)
        return 2;
    Store store;
    store.start();
    std::mutex ranLock;
    std::map<std::string, std::string> ran; // service by request
    std::vector<Upstream> upstreams(6);
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        auto &one = upstreams[i];
        one.service = i < 3 ? "planner-old" : "planner-new";
        one.id = "i-" + std::to_string(i);
        one.onRun = [&](const std::string &id, const std::string &service) {
            const std::lock_guard guard(ranLock);
            ran[id] = service;
        };
        one.start();
        store.put("servers/" + one.id, one.entry("bay-" + std::to_string(i % 3)));
    }
    const std::vector<std::string> services{"planner-old", "planner-new"};
    store.put("op/config", configuration(7, {route("r-1", "/plug/", "unsafe", "planner-old", 1200)}, services));
    std::vector<Host> hosts(4);
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        hosts[i].id = "edge-" + std::to_string(i);
        if (!hosts[i].start(values[1], "bay-" + std::to_string(i % 3), store.server.port))
            return 2;
    }
    const auto finish = [&](int code) {
        for (auto &host : hosts)
            host.stop();
        store.ended = true;
        std::fflush(nullptr);
        std::_Exit(code);
    };
    for (const auto &host : hosts) {
        if (!awaitReady(host, 10)) {
            record(host.id + " is not ready");
            finish(2);
        }
    }
    record("all hosts are ready");
    // Long after the start. Then the watch that is lost is a new one: its time is not nearly over.
    sleepUntil(now() + 12);
    const auto waitEnds = now() + 6;
    const auto known = store.watchBegan.load();
    while (store.watchBegan == known && now() < waitEnds)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    sleepUntil(now() + 0.2);

    std::mutex sentLock;
    std::vector<Sent> sent;
    std::atomic<bool> sending = true;
    std::vector<std::thread> clients;
    for (const auto &host : hosts) {
        clients.emplace_back([&, port = host.callers, name = host.id] {
            while (sending) {
                Sent one{newId(), name, now(), {}};
                one.answer = call(port, "POST", "/plug/assign", one.id, "{}", 1500);
                {
                    const std::lock_guard guard(sentLock);
                    sent.push_back(one);
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
        });
    }
    sleepUntil(now() + 0.5);
    if (trouble) {
        const std::lock_guard guard(store.lock);
        store.loseWatches = "op/";
    }
    const auto acked = store.put(
            "op/config", configuration(8, {route("r-1", "/plug/", "unsafe", "planner-new", 1200)}, services));
    record("store: version 8 is acknowledged: /plug/ goes to planner-new instead of planner-old");
    sleepUntil(acked + 0.1);
    {
        const std::lock_guard guard(store.lock);
        store.loseWatches.clear();
    }
    const auto lost = store.lost.load();
    sleepUntil(acked + observedS);
    sending = false;
    for (auto &client : clients)
        client.join();

    // In touch again, and bound by version 8, from here on.
    const auto bound = std::max(acked + configApplyS, lost > 0 ? store.lastLost + stableWindowS : 0);
    int broken = 0;
    int served = 0;
    int later = 0;
    double lastOld = 0;
    for (const auto &one : sent) {
        const auto found = ran.find(one.id);
        const auto service = found == ran.end() ? std::string("none") : found->second;
        char line[160];
        std::snprintf(line, sizeof(line), "sent at %.3f (ack + %.3f s) by %s: status %d, run by %s", one.at,
                      one.at - acked, one.host.c_str(), one.answer.status, service.c_str());
        record(one.id + " " + line);
        served += one.answer.status == 200 ? 1 : 0;
        if (service == "planner-old")
            lastOld = std::max(lastOld, one.at);
        if (one.at <= bound + 0.05)
            continue;
        ++later;
        broken += service == "planner-old" ? 1 : 0;
    }
    char line[200];
    std::snprintf(line, sizeof(line),
                  "answers of the store lost: %d; requests %zu, answered 200 %d; the last one run by the old service was "
                  "sent %.3f s after the ack; sent while bound: %d, of these run by the old service: %d",
                  lost, sent.size(), served, lastOld - acked, later, broken);
    record(line);
    std::printf("%s\n", line);
    if (later < 50 || served < 100 || (trouble && lost == 0))
        finish(2);
    finish(broken > 0 ? 1 : 0);
}

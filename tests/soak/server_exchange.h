// The steps of one exchange at a server of the soak: reading the body, refusals, work and answers.
#pragma once

#include "soak/server_behaviours.h"

namespace parsleyloft {

inline constexpr unsigned otherServer = 421;

struct request_exchange
{
    serving_process &process;
    server_connection &connection;
    http_request request;
    std::string id;
    std::uint32_t key = 0;
    server_behaviour behaviour = server_behaviour::Runs;
    pcg32 random;
    bool bodyRead = false;
};

// How often a refusal is written.
enum class refusal_copies : std::uint8_t {
    None,
    AtOnce,
    Late,
};

auto drawPause(request_exchange &exchange, int firstMs, int lastMs) -> duration;

auto pause(request_exchange &exchange, int firstMs, int lastMs) -> void;

auto drawOneOf(request_exchange &exchange, const std::vector<unsigned> &values) -> unsigned;

// A position inside the text, neither its start nor its end.
auto drawPosition(request_exchange &exchange, std::string_view text) -> std::size_t;

// A line of the output for each answer, which the verdict prints for the requests of a breach.
auto logStep(const request_exchange &exchange, std::string_view step, unsigned status) -> void;

auto readBody(request_exchange &exchange) -> bool;

auto headerLine(std::string_view name, std::string_view value) -> std::string;

auto statusLine(unsigned status) -> std::string;

auto idLine(const request_exchange &exchange) -> std::string;

auto stampLine(const request_exchange &exchange) -> std::string;

auto bodyOf(const request_exchange &exchange) -> std::string;

auto makeAnswer(const request_exchange &exchange, unsigned status, std::string_view otherLines)
        -> std::string;

// The headers of a refusal may come in any order, so that parts of it hold different ones.
auto makeRefusal(request_exchange &exchange, unsigned status, bool hasStatement, bool hasId)
        -> std::string;

// Writes the late copy of an earlier answer, if there is one, and the bytes.
auto writeNext(request_exchange &exchange, std::string_view bytes) -> bool;

auto writeAnswer(request_exchange &exchange, unsigned status, const std::string &answer) -> void;

// Writes the copy at once if the caller sends nothing for a while, otherwise before the next
// answer.
auto writeLateCopy(request_exchange &exchange, const std::string &copy) -> void;

auto writeRefusal(request_exchange &exchange, unsigned status, const std::string &refusal,
                  refusal_copies copies) -> void;

// Refuses a request that this server must not run.
auto refuseAsOther(request_exchange &exchange) -> void;

// Records the run, unless the request's key is not held. The record and the check are one step, so
// that a release that follows waits for the work.
auto beginWork(request_exchange &exchange) -> bool;

// Returns the status of the answer. Work that outlasts the grant of its key fails.
auto endWork(request_exchange &exchange) -> unsigned;

// Runs the request. Refuses it, and returns nothing, if its key is not held, or returns nothing if
// the connection ends before the body.
auto work(request_exchange &exchange) -> std::optional<unsigned>;

} // namespace parsleyloft
